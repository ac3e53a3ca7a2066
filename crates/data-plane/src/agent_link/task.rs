//! Keeps the connection to the agent, on the control thread.

use std::net::SocketAddr;

use futures::{FutureExt, SinkExt, StreamExt};
use millford_api::local::{LocalFrame, ProxyHello, local_frame};
use millford_core::Duration;
use millford_core::backoff::Backoff;
use millford_settings::PartLog;
use millford_transport::{FramedReader, FramedWriter, TransportError, connect};
use tokio::sync::mpsc;

use crate::agent_link::link::{AgentLink, frame};
use crate::frame_handler::{FrameHandler, FrameOutcome};

const LOG: PartLog = PartLog::new("AGENT");

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const FIRST_RECONNECT: Duration = Duration::from_millis(20);
const LONGEST_RECONNECT: Duration = Duration::from_millis(500);

/// The control thread's side of the link.
pub struct AgentLinkTask {
    link: AgentLink,
    frames: mpsc::UnboundedReceiver<LocalFrame>,
    handler: FrameHandler,
    address: SocketAddr,
    hello: ProxyHello,
}

impl AgentLinkTask {
    pub(super) fn new(
        link: AgentLink,
        frames: mpsc::UnboundedReceiver<LocalFrame>,
        handler: FrameHandler,
        address: SocketAddr,
        hello: ProxyHello,
    ) -> Self {
        Self {
            link,
            frames,
            handler,
            address,
            hello,
        }
    }

    /// Keeps a connection to the agent for as long as the process lives.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(FIRST_RECONNECT, LONGEST_RECONNECT);
        let mut reported = false;
        loop {
            match connect::<LocalFrame>(self.address, CONNECT_TIMEOUT).await {
                Ok((reader, writer)) => {
                    LOG.info("Connected to the agent.");
                    backoff.reset();
                    reported = false;
                    let ended = self.serve(reader, writer).await;
                    LOG.warn(format!("Lost the agent: {ended}."));
                }
                Err(error) if !reported => {
                    LOG.warn(format!("No connection to the agent: {error}."));
                    reported = true;
                }
                Err(_) => {}
            }
            tokio::time::sleep(backoff.next_delay()).await;
        }
    }

    async fn serve(
        &mut self,
        mut reader: FramedReader<LocalFrame>,
        mut writer: FramedWriter<LocalFrame>,
    ) -> TransportError {
        if let Err(error) = self.greet(&mut writer).await {
            return error;
        }
        loop {
            let served = tokio::select! {
                biased;
                // What the agent says comes before what the requests want to say.
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

    async fn greet(&mut self, writer: &mut FramedWriter<LocalFrame>) -> Result<(), TransportError> {
        let hello = local_frame::Body::ProxyHello(self.hello.clone());
        writer.feed(frame(hello)).await?;
        writer.feed(self.handler.shown_frame()).await?;
        writer.feed(self.start_over()).await?;
        for unanswered in self.link.unanswered() {
            writer.feed(unanswered).await?;
        }
        writer.flush().await
    }

    /// The slots held now. Frames queued for the old connection are dropped: asks, claims and
    /// settlements are sent again, releases are part of the counts, and load is reported again anyway.
    fn start_over(&mut self) -> LocalFrame {
        let held = self.link.held.lock();
        while self.frames.try_recv().is_ok() {}
        frame(local_frame::Body::OpenStreams(held.to_frame()))
    }

    /// Takes every frame that has arrived, then shows the result once.
    async fn receive(
        &mut self,
        first: LocalFrame,
        reader: &mut FramedReader<LocalFrame>,
        writer: &mut FramedWriter<LocalFrame>,
    ) -> Result<(), TransportError> {
        let mut changed = self.take(first)?;
        while let Some(next) = reader.next().now_or_never() {
            let next = next.unwrap_or_else(|| Err(closed()))?;
            changed |= self.take(next)?;
        }
        if changed && let Some(shown) = self.handler.show() {
            writer.send(shown).await?;
        }
        Ok(())
    }

    fn take(&mut self, received: LocalFrame) -> Result<bool, TransportError> {
        match self.handler.handle(received) {
            FrameOutcome::Nothing => {}
            FrameOutcome::Changed => return Ok(true),
            FrameOutcome::Reconnect => return Err(closed()),
            FrameOutcome::Quota {
                request_id,
                answer,
                use_within,
            } => self.link.answer_quota(request_id, answer, use_within),
            FrameOutcome::Claim { request_id, answer } => {
                // A claim granted too late was settled as not run by its asker.
                self.link.claims.answered(request_id, answer);
            }
            FrameOutcome::Settled { request_id } => {
                self.link.settles.answered(request_id, ());
            }
        }
        Ok(false)
    }

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
