//! An answer of a simulated backend, as the request path reads it.

use bytes::Bytes;
use futures::StreamExt;
use futures::channel::mpsc;
use millford_proxy::request::environment::BackendAnswer;
use millford_proxy::request::message::{AnswerError, AnswerHead};

use crate::world::proxy::action::{ExchangeNumber, ProxyAction};
use crate::world::proxy::port::{SharedPort, lock};

/// A part of an answer after its head.
#[derive(Clone, Debug)]
pub enum AnswerPart {
    /// Bytes of the body.
    Body(Bytes),
    /// The body ended complete by its framing.
    Finish,
}

/// Closes the connection of an exchange when dropped.
pub struct ExchangeGuard {
    /// Where to close.
    pub port: SharedPort,
    /// Which exchange.
    pub exchange: ExchangeNumber,
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let mut port = lock(&self.port);
        port.exchanges.remove(&self.exchange);
        port.actions.push(ProxyAction::CloseExchange(self.exchange));
    }
}

/// Head and parts of an answer.
pub struct SimulatedAnswer {
    head: AnswerHead,
    parts: mpsc::UnboundedReceiver<AnswerPart>,
    finished: bool,
    _guard: ExchangeGuard,
}

impl SimulatedAnswer {
    /// An answer whose head arrived.
    #[must_use]
    pub fn new(
        head: AnswerHead,
        parts: mpsc::UnboundedReceiver<AnswerPart>,
        guard: ExchangeGuard,
    ) -> Self {
        Self {
            head,
            parts,
            finished: false,
            _guard: guard,
        }
    }
}

impl BackendAnswer for SimulatedAnswer {
    fn head(&self) -> &AnswerHead {
        &self.head
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, AnswerError> {
        if self.finished {
            return Ok(None);
        }
        match self.parts.next().await {
            Some(AnswerPart::Body(bytes)) => Ok(Some(bytes)),
            Some(AnswerPart::Finish) => {
                self.finished = true;
                Ok(None)
            }
            // The connection ended before the body did.
            None => Err(AnswerError::Cut),
        }
    }
}
