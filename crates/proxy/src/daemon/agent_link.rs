//! What the requests ask of the agent beside the proxy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use millford_api::command::{Claim, ResolveClaim};
use millford_api::local::{
    LocalClaim, LocalFrame, LocalQuotaRelease, LocalQuotaRequest, LocalResolveClaim, ProxyHello,
    local_frame,
};
use millford_core::Duration;
use millford_core::time::monotonic_now;
use tokio::sync::mpsc;

use crate::control::frame_handler::FrameHandler;
use crate::control::send_times::SendTimes;
use crate::daemon::agent_link_task::AgentLinkTask;
use crate::daemon::held_streams::HeldStreams;
use crate::daemon::outstanding::Outstanding;
use crate::proxy_state::ProxyState;
use crate::request::message::{AdmissionReply, AdmissionRequest, ClaimAnswer, QuotaRelease};

/// The requests' side of the link.
#[derive(Clone, Debug)]
pub struct AgentLink {
    frames: mpsc::UnboundedSender<LocalFrame>,
    next_id: Arc<AtomicU64>,
    pub(super) quotas: Outstanding<AdmissionReply>,
    pub(super) claims: Outstanding<ClaimAnswer>,
    pub(super) settles: Outstanding<()>,
    pub(super) held: HeldStreams,
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
    let handler = FrameHandler::new(state);
    let task = AgentLinkTask::new(link.clone(), receiver, handler, address, hello);
    (link, task)
}

impl AgentLink {
    /// Asks for one admission. A restart of the agent within the timeout only delays it.
    pub async fn ask_quota(&self, ask: AdmissionRequest) -> AdmissionReply {
        let request_id = self.fresh_id();
        let body = local_frame::Body::QuotaRequest(LocalQuotaRequest {
            request_id,
            tenant: ask.tenant,
            stream: ask.stream,
            timeout_ms: millis(ask.timeout),
            waited_ms: 0,
        });
        let mut asked = self.quotas.ask(request_id, frame(body.clone()));
        self.send(body);
        let answer = tokio::time::timeout(ask.timeout, asked.answer()).await;
        let answer = answer.unwrap_or_else(|_| asked.stop());
        answer.unwrap_or(AdmissionReply::Refused {
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
    pub fn settle(&self, settle: ResolveClaim) {
        let request_id = self.fresh_id();
        let body = local_frame::Body::ResolveClaim(LocalResolveClaim {
            request_id,
            resolution: Some(settle),
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
    ///
    /// A process that stood still finds grants whose lease has ended meanwhile: the leader has lent
    /// those tokens again. They are not used, and the ask is sent again.
    pub(super) fn answer_quota(
        &self,
        request_id: u64,
        answer: AdmissionReply,
        use_within: Option<Duration>,
    ) {
        let mut held = self.held.lock();
        let Some(asked) = self.asked_quota(request_id) else {
            return;
        };
        if answer == AdmissionReply::Granted
            && self.ask_again_if_late(request_id, use_within, &asked)
        {
            return;
        }
        let unclaimed = self.quotas.give(request_id, answer);
        if answer != AdmissionReply::Granted {
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

    fn ask_again_if_late(
        &self,
        request_id: u64,
        use_within: Option<Duration>,
        asked: &LocalQuotaRequest,
    ) -> bool {
        let now = monotonic_now();
        let is_late = |times: &SendTimes| times.is_late(now, use_within);
        let renewed = self
            .quotas
            .renew_late(request_id, is_late, |frame, times| times.renew(now, frame));
        let Some(body) = renewed.and_then(|frame| frame.body) else {
            return false;
        };
        if asked.stream {
            // The agent counts the slot as taken; its token is gone.
            self.send(release_body(QuotaRelease {
                tenant: asked.tenant.clone(),
                stream: true,
                unused: false,
            }));
        }
        self.send(body);
        true
    }

    fn asked_quota(&self, request_id: u64) -> Option<LocalQuotaRequest> {
        match self.quotas.frame(request_id)?.body {
            Some(local_frame::Body::QuotaRequest(ask)) => Some(ask),
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
    pub(super) fn unanswered(&self) -> Vec<LocalFrame> {
        let mut frames = self.settles.frames();
        frames.extend(self.claims.frames());
        let now = monotonic_now();
        frames.extend(self.quotas.renewed(|frame, times| times.renew(now, frame)));
        frames
    }
}

fn release_body(release: QuotaRelease) -> local_frame::Body {
    local_frame::Body::QuotaRelease(LocalQuotaRelease {
        tenant: release.tenant,
        stream: release.stream,
        unused: release.unused,
    })
}

pub(super) fn frame(body: local_frame::Body) -> LocalFrame {
    LocalFrame { body: Some(body) }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
