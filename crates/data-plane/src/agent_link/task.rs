//! Connection to the agent, maintained on the control thread.

use std::net::SocketAddr;

use futures::{FutureExt, SinkExt, StreamExt};
use millford_api::local::{LocalFrame, ProxyDraining, ProxyHello, local_frame};
use millford_core::Duration;
use millford_core::backoff::Backoff;
use millford_settings::PartLog;
use millford_transport::{FrameLimits, FramedReader, FramedWriter, TransportError, connect};
use tokio::sync::mpsc;

use crate::agent_link::link::{AgentLink, frame};
use crate::frame_handler::{FrameHandler, FrameOutcome};

const LOG: PartLog = PartLog::new("AGENT");

/// Longest time to open a connection to the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest delay between two connection attempts.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Longest delay between two connection attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The control thread's side of the link.
pub struct AgentLinkTask {
    link: AgentLink,
    frames: mpsc::UnboundedReceiver<LocalFrame>,
    handler: FrameHandler,
    address: SocketAddr,
    hello: ProxyHello,
    limits: FrameLimits,
}

impl AgentLinkTask {
    pub(super) fn new(
        link: AgentLink,
        frames: mpsc::UnboundedReceiver<LocalFrame>,
        handler: FrameHandler,
        address: SocketAddr,
        hello: ProxyHello,
        limits: FrameLimits,
    ) -> Self {
        Self {
            link,
            frames,
            handler,
            address,
            hello,
            limits,
        }
    }

    /// Keeps a connection to the agent until the process exits; never returns.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let mut failure_logged = false;
        loop {
            match connect::<LocalFrame>(self.address, CONNECT_TIMEOUT, &self.limits).await {
                Ok((reader, writer)) => {
                    LOG.info("Connected to the agent.");
                    backoff.reset();
                    failure_logged = false;
                    let error = self.serve(reader, writer).await;
                    let revision = self.handler.agent_lost();
                    LOG.warn(format!(
                        "Lost the connection to the agent: {error}. Configuration revision {revision} stays applied."
                    ));
                }
                Err(error) if !failure_logged => {
                    LOG.warn(format!("Cannot connect to the agent, retrying: {error}."));
                    failure_logged = true;
                }
                Err(_) => {}
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    /// Serves one connection until it fails.
    async fn serve(
        &mut self,
        mut reader: FramedReader<LocalFrame>,
        mut writer: FramedWriter<LocalFrame>,
    ) -> TransportError {
        if let Err(error) = self.handshake(&mut writer).await {
            return error;
        }
        loop {
            let served = tokio::select! {
                biased;
                // Received frames take precedence over outgoing ones, so that a drain is applied in time.
                received = reader.next() => match received {
                    Some(Ok(first)) => self.receive(first, &mut reader, &mut writer).await,
                    Some(Err(error)) => Err(error),
                    None => Err(closed()),
                },
                outgoing = self.frames.recv() => match outgoing {
                    Some(outgoing) => self.forward(outgoing, &mut writer).await,
                    None => Err(closed()),
                },
            };
            if let Err(error) = served {
                return error;
            }
        }
    }

    /// Sends the hello, the applied revision, the granted stream slots and whether the proxy is draining, and then
    /// again the requests that await their replies.
    async fn handshake(
        &mut self,
        writer: &mut FramedWriter<LocalFrame>,
    ) -> Result<(), TransportError> {
        let hello = local_frame::Body::ProxyHello(self.hello.clone());
        writer.feed(frame(hello)).await?;
        writer.feed(self.handler.applied_revision_frame()).await?;
        writer.feed(self.open_streams()).await?;
        if self.handler.is_draining() {
            let draining = local_frame::Body::Draining(ProxyDraining {});
            writer.feed(frame(draining)).await?;
        }
        for request in self.link.resend_all() {
            writer.feed(request).await?;
        }
        writer.flush().await
    }

    /// Returns the frame with the granted stream slots, and drops the frames queued for the old
    /// connection. None of them is needed: requests in flight are sent again, releases are included in
    /// the counts, and load is reported again periodically.
    fn open_streams(&mut self) -> LocalFrame {
        let frames = &mut self.frames;
        self.link
            .open_streams(|| while frames.try_recv().is_ok() {})
    }

    /// Handles every frame that has been received, then applies the changes once.
    async fn receive(
        &mut self,
        first: LocalFrame,
        reader: &mut FramedReader<LocalFrame>,
        writer: &mut FramedWriter<LocalFrame>,
    ) -> Result<(), TransportError> {
        let mut changed = self.handle(first)?;
        while let Some(next) = reader.next().now_or_never() {
            let next = next.unwrap_or_else(|| Err(closed()))?;
            changed |= self.handle(next)?;
        }
        if changed && let Some(applied) = self.handler.apply_changes() {
            writer.send(applied).await?;
        }
        Ok(())
    }

    /// Handles one frame. Returns whether the view of the control state changed.
    fn handle(&mut self, received: LocalFrame) -> Result<bool, TransportError> {
        match self.handler.handle(received) {
            FrameOutcome::Nothing => {}
            FrameOutcome::Changed => return Ok(true),
            FrameOutcome::Reconnect => return Err(closed()),
            FrameOutcome::Quota {
                request_id,
                answer,
                use_within,
            } => self.link.complete_quota(request_id, answer, use_within),
            FrameOutcome::Claim { request_id, answer } => {
                self.link.complete_claim(request_id, answer);
            }
            FrameOutcome::ClaimResolved { request_id } => {
                self.link.complete_claim_resolution(request_id);
            }
        }
        Ok(false)
    }

    /// Sends `first` and every frame that is queued behind it.
    async fn forward(
        &mut self,
        first: LocalFrame,
        writer: &mut FramedWriter<LocalFrame>,
    ) -> Result<(), TransportError> {
        writer.feed(first).await?;
        while let Ok(next) = self.frames.try_recv() {
            writer.feed(next).await?;
        }
        writer.flush().await
    }
}

fn closed() -> TransportError {
    TransportError::Io(std::io::ErrorKind::ConnectionAborted.into())
}
