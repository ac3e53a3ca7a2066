//! The way back to a simulated caller.

use std::future::Future;

use bytes::Bytes;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Shared;
use millford_proxy::request::caller::{CallerDisconnected, CallerHead, CallerPresence, CallerSink};

use crate::history::CallNumber;
use crate::world::proxy::action::ProxyAction;
use crate::world::proxy::port::{SharedPort, lock};

/// Resolves when the caller leaves.
#[derive(Clone)]
pub struct PipePresence(Shared<oneshot::Receiver<()>>);

impl CallerPresence for PipePresence {
    fn disconnected(&self) -> impl Future<Output = ()> + Send {
        let left = self.0.clone();
        async move {
            let _ = left.await;
        }
    }
}

/// Connection of one call.
pub struct CallerPipe {
    port: SharedPort,
    call: CallNumber,
    presence: PipePresence,
    begun: bool,
    finished: bool,
}

impl CallerPipe {
    /// The pipe of a call that arrived.
    #[must_use]
    pub fn new(port: SharedPort, call: CallNumber) -> Self {
        let (sender, receiver) = oneshot::channel();
        lock(&port).presences.insert(call, sender);
        Self {
            port,
            call,
            presence: PipePresence(receiver.shared()),
            begun: false,
            finished: false,
        }
    }

    fn push(&self, action: ProxyAction) -> Result<(), CallerDisconnected> {
        let mut port = lock(&self.port);
        if !port.presences.contains_key(&self.call) {
            return Err(CallerDisconnected);
        }
        port.actions.push(action);
        Ok(())
    }
}

impl CallerSink for CallerPipe {
    type Presence = PipePresence;

    fn presence(&self) -> PipePresence {
        self.presence.clone()
    }

    async fn begin(&mut self, head: CallerHead) -> Result<(), CallerDisconnected> {
        self.begun = true;
        let call = self.call;
        self.push(ProxyAction::CallerHead { call, head })
    }

    async fn send(&mut self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        let call = self.call;
        self.push(ProxyAction::CallerBytes { call, bytes })
    }

    fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for CallerPipe {
    fn drop(&mut self) {
        let mut port = lock(&self.port);
        port.presences.remove(&self.call);
        port.actions.push(ProxyAction::CallerEnd {
            call: self.call,
            whole: self.begun && self.finished,
        });
    }
}
