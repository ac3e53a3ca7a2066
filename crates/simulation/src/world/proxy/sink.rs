//! Connection of a proxy to a simulated caller.

use std::future::Future;

use bytes::Bytes;
use futures::FutureExt;
use futures::channel::oneshot;
use futures::future::Shared;
use millford_proxy::request::caller::{CallerDisconnected, CallerHead, CallerPresence, CallerSink};

use crate::history::RequestNumber;
use crate::world::proxy::action::ProxyAction;
use crate::world::proxy::port::{SharedPort, lock};

/// Signals that the caller disconnected.
#[derive(Clone)]
pub struct PipePresence(Shared<oneshot::Receiver<()>>);

impl CallerPresence for PipePresence {
    fn disconnected(&self) -> impl Future<Output = ()> + Send {
        let disconnected = self.0.clone();
        async move {
            let _ = disconnected.await;
        }
    }
}

/// Connection to the caller of a client request. When it is dropped, the answer ends.
pub struct CallerPipe {
    port: SharedPort,
    client_request: RequestNumber,
    presence: PipePresence,
    head_sent: bool,
    finished: bool,
}

impl CallerPipe {
    /// Creates the connection of a client request that arrived.
    #[must_use]
    pub fn new(port: SharedPort, client_request: RequestNumber) -> Self {
        let (sender, receiver) = oneshot::channel();
        lock(&port).presences.insert(client_request, sender);
        Self {
            port,
            client_request,
            presence: PipePresence(receiver.shared()),
            head_sent: false,
            finished: false,
        }
    }

    fn push(&self, action: ProxyAction) -> Result<(), CallerDisconnected> {
        let mut port = lock(&self.port);
        if !port.presences.contains_key(&self.client_request) {
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
        self.head_sent = true;
        let client_request = self.client_request;
        self.push(ProxyAction::CallerHead {
            client_request,
            head,
        })
    }

    async fn send(&mut self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        let client_request = self.client_request;
        self.push(ProxyAction::CallerBytes {
            client_request,
            bytes,
        })
    }

    fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for CallerPipe {
    fn drop(&mut self) {
        let mut port = lock(&self.port);
        port.presences.remove(&self.client_request);
        port.actions.push(ProxyAction::CallerEnd {
            client_request: self.client_request,
            complete: self.head_sent && self.finished,
        });
    }
}
