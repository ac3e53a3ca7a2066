//! Link to the agent beside the proxy, on the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use futures::{FutureExt, SinkExt, StreamExt};
use millford_api::command::{Claim, SettleClaim};
use millford_api::local::{
    LocalClaim, LocalFrame, LocalQuotaAsk, LocalQuotaRelease, LocalSettle, ProxyHello, local_frame,
};
use millford_core::Duration;
use millford_core::backoff::Backoff;
use millford_settings::PartLog;
use millford_transport::{FramedReader, FramedWriter, TransportError, connect};
use tokio::sync::mpsc;

use crate::control::frame_handler::{FrameHandler, FrameOutcome};
use crate::daemon::held_streams::HeldStreams;
use crate::daemon::outstanding::Outstanding;
use crate::proxy_state::ProxyState;
use crate::request::message::{ClaimAnswer, QuotaAnswer, QuotaAsk, QuotaRelease};

const LOG: PartLog = PartLog::new("AGENT");

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const FIRST_RECONNECT: Duration = Duration::from_millis(20);
const LONGEST_RECONNECT: Duration = Duration::from_millis(500);

/// The requests' side of the link.
#[derive(Clone, Debug)]
pub struct AgentLink {
    frames: mpsc::UnboundedSender<LocalFrame>,
    next_id: Arc<AtomicU64>,
    quotas: Outstanding<QuotaAnswer>,
    claims: Outstanding<ClaimAnswer>,
    settles: Outstanding<()>,
    held: HeldStreams,
}

/// The control thread's side of the link.
pub struct AgentLinkTask {
    link: AgentLink,
    frames: mpsc::UnboundedReceiver<LocalFrame>,
    handler: FrameHandler,
    address: SocketAddr,
    hello: ProxyHello,
}

/// Makes both sides of the link.
#[must_use]
pub fn agent_link(
    state: Arc<ProxyState>,
    address: SocketAddr,
    hello: ProxyHello,
) -> (AgentLink, AgentLinkTask) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let link = AgentLink {
        frames: sender,
        next_id: Arc::new(AtomicU64::new(1)),
        quotas: Outstanding::default(),
        claims: Outstanding::default(),
        settles: Outstanding::default(),
        held: HeldStreams::default(),
    };
    let task = AgentLinkTask {
        link: link.clone(),
        frames: receiver,
        handler: FrameHandler::new(state),
        address,
        hello,
    };
    (link, task)
}

impl AgentLink {
    /// Asks for one admission. A restart of the agent within the timeout only delays it.
    pub async fn ask_quota(&self, ask: QuotaAsk) -> QuotaAnswer {
        let request_id = self.fresh_id();
        let body = local_frame::Body::QuotaAsk(LocalQuotaAsk {
            request_id,
            tenant: ask.tenant,
            stream: ask.stream,
            timeout_ms: millis(ask.timeout),
        });
        let mut asked = self.quotas.ask(request_id, frame(body.clone()));
        self.send(body);
        let answer = tokio::time::timeout(ask.timeout, asked.answer()).await;
        let answer = answer.unwrap_or_else(|_| asked.stop());
        answer.unwrap_or(QuotaAnswer::Refused {
            code: millford_core::ResultCode::QuotaUnavailable,
            retry_after_ms: 0,
        })
    }

    /// Gives a slot or a token back.
    pub fn release_quota(&self, release: QuotaRelease) {
        let mut held = self.held.lock();
        if release.stream {
            held.remove(&release.tenant);
        }
        self.send(release_body(release));
    }

    /// Reserves a run. Sent again on a new connection under the same attempt id.
    pub async fn claim(&self, claim: Claim, timeout: Duration) -> ClaimAnswer {
        let request_id = self.fresh_id();
        let body = local_frame::Body::Claim(LocalClaim {
            request_id,
            claim: Some(claim),
            timeout_ms: millis(timeout),
        });
        let mut asked = self.claims.ask(request_id, frame(body.clone()));
        self.send(body);
        let answer = tokio::time::timeout(timeout, asked.answer()).await;
        let answer = answer.unwrap_or_else(|_| asked.stop());
        answer.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Records an outcome. Sent again on a new connection until it is acknowledged.
    pub fn settle(&self, settle: SettleClaim) {
        let request_id = self.fresh_id();
        let body = local_frame::Body::Settle(LocalSettle {
            request_id,
            settle: Some(settle),
        });
        self.settles.keep(request_id, frame(body.clone()));
        self.send(body);
    }

    /// Sends a frame that needs no answer; lost while there is no connection.
    pub fn send(&self, body: local_frame::Body) {
        // The receiver lives as long as the process.
        let _ = self.frames.send(frame(body));
    }

    /// Passes a quota decision on. A grant that came too late is given back.
    fn answer_quota(&self, request_id: u64, answer: QuotaAnswer) {
        let mut held = self.held.lock();
        let Some(asked) = self.asked_quota(request_id) else {
            return;
        };
        let unclaimed = self.quotas.give(request_id, answer);
        if answer != QuotaAnswer::Granted {
            return;
        }
        let release = QuotaRelease {
            tenant: asked.tenant,
            stream: asked.stream,
            unused: true,
        };
        match unclaimed {
            Some(_) => self.send(release_body(release)),
            None if release.stream => held.add(&release.tenant),
            None => {}
        }
    }

    fn asked_quota(&self, request_id: u64) -> Option<LocalQuotaAsk> {
        match self.quotas.frame(request_id)?.body {
            Some(local_frame::Body::QuotaAsk(ask)) => Some(ask),
            _ => None,
        }
    }

    /// Whether every settlement was acknowledged.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settles.is_empty()
    }

    fn fresh_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Frames to send again on a new connection.
    fn unanswered(&self) -> Vec<LocalFrame> {
        let mut frames = self.settles.frames();
        frames.extend(self.claims.frames());
        frames.extend(self.quotas.frames());
        frames
    }
}

impl AgentLinkTask {
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
            FrameOutcome::Quota { request_id, answer } => {
                self.link.answer_quota(request_id, answer);
            }
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

fn release_body(release: QuotaRelease) -> local_frame::Body {
    local_frame::Body::QuotaRelease(LocalQuotaRelease {
        tenant: release.tenant,
        stream: release.stream,
        unused: release.unused,
    })
}

fn frame(body: local_frame::Body) -> LocalFrame {
    LocalFrame { body: Some(body) }
}

fn closed() -> TransportError {
    TransportError::Io(std::io::ErrorKind::ConnectionAborted.into())
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
