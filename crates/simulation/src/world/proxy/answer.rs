//! Answer of a simulated backend, as the request path reads it.

use bytes::Bytes;
use futures::StreamExt;
use futures::channel::mpsc;
use millford_proxy::request::environment::BackendAnswer;
use millford_proxy::request::message::{AnswerError, AnswerHead};

use crate::world::proxy::action::{ExchangeNumber, ProxyAction};
use crate::world::proxy::port::{SharedPort, lock};

/// An event in an answer's body.
#[derive(Clone, Debug)]
pub enum BodyPart {
    /// A part of the body.
    Bytes(Bytes),
    /// The body is complete according to its framing.
    Finish,
}

/// Closes the connection of an exchange when dropped.
pub struct ExchangeGuard {
    /// Port of the proxy, to which the closing is passed.
    pub port: SharedPort,
    /// The exchange to close.
    pub exchange: ExchangeNumber,
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        let mut port = lock(&self.port);
        port.exchanges.remove(&self.exchange);
        port.actions.push(ProxyAction::CloseExchange(self.exchange));
    }
}

/// Head and body of an answer; the exchange is closed when it is dropped.
pub struct SimulatedAnswer {
    head: AnswerHead,
    body: mpsc::UnboundedReceiver<BodyPart>,
    finished: bool,
    _guard: ExchangeGuard,
}

impl SimulatedAnswer {
    /// Creates an answer whose head has arrived; `body` delivers the rest.
    #[must_use]
    pub fn new(
        head: AnswerHead,
        body: mpsc::UnboundedReceiver<BodyPart>,
        guard: ExchangeGuard,
    ) -> Self {
        Self {
            head,
            body,
            finished: false,
            _guard: guard,
        }
    }
}

impl BackendAnswer for SimulatedAnswer {
    fn head(&self) -> &AnswerHead {
        &self.head
    }

    async fn next_bytes(&mut self) -> Result<Option<Bytes>, AnswerError> {
        if self.finished {
            return Ok(None);
        }
        match self.body.next().await {
            Some(BodyPart::Bytes(bytes)) => Ok(Some(bytes)),
            Some(BodyPart::Finish) => {
                self.finished = true;
                Ok(None)
            }
            // The connection ended before the body did.
            None => Err(AnswerError::Disconnected),
        }
    }
}
