//! The request path's side of the link to the agent.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use millford_api::command::{Claim, ResolveClaim};
use millford_api::local::{
    LocalClaim, LocalFrame, LocalQuotaRelease, LocalQuotaRequest, LocalResolveClaim, ProxyDraining,
    local_frame,
};
use millford_core::time::monotonic_now;
use millford_core::{Duration, ResultCode};
use tokio::sync::mpsc;

use crate::agent_link::granted_streams::GrantedStreams;
use crate::agent_link::in_flight::{Delivery, InFlightRequests};
use crate::agent_message::{AdmissionReply, AdmissionRequest, ClaimAnswer, QuotaRelease};

/// Handle of the request path: sends frames to the agent and waits for its replies.
#[derive(Clone, Debug)]
pub struct AgentLink {
    frames: mpsc::UnboundedSender<LocalFrame>,
    next_id: Arc<AtomicU64>,
    quotas: InFlightRequests<AdmissionReply>,
    claims: InFlightRequests<ClaimAnswer>,
    claim_resolutions: InFlightRequests<()>,
    granted_streams: GrantedStreams,
}

impl AgentLink {
    /// Creates a link that queues its frames in `frames`.
    pub(super) fn new(frames: mpsc::UnboundedSender<LocalFrame>) -> Self {
        Self {
            frames,
            next_id: Arc::new(AtomicU64::new(1)),
            quotas: InFlightRequests::default(),
            claims: InFlightRequests::default(),
            claim_resolutions: InFlightRequests::default(),
            granted_streams: GrantedStreams::default(),
        }
    }

    /// Requests the admission of one request and waits for the reply. Without a reply within the timeout
    /// it is refused with [`ResultCode::QuotaUnavailable`]. A restart of the agent within the timeout
    /// only delays the reply.
    pub async fn request_quota(&self, request: AdmissionRequest) -> AdmissionReply {
        let request_id = self.next_request_id();
        let body = local_frame::Body::QuotaRequest(LocalQuotaRequest {
            request_id,
            tenant: request.tenant,
            stream: request.stream,
            timeout_ms: millis(request.timeout),
            waited_ms: 0,
        });
        let waiter = self.quotas.register(request_id, frame(body.clone()));
        self.send(body);
        let reply = waiter.reply(request.timeout).await;
        reply.unwrap_or(AdmissionReply::Refused {
            code: ResultCode::QuotaUnavailable,
            retry_after_ms: 0,
        })
    }

    /// Reports the end of an admitted request: releases its stream slot, and its token if the request was
    /// never sent.
    pub fn release_quota(&self, release: QuotaRelease) {
        let mut granted_streams = self.granted_streams.lock();
        if release.stream {
            granted_streams.remove(&release.tenant);
        }
        self.send(release_body(release));
    }

    /// Claims a run and waits for the reply. The claim is sent again on a new connection, with the same
    /// attempt id.
    pub async fn claim(&self, claim: Claim, timeout: Duration) -> ClaimAnswer {
        let request_id = self.next_request_id();
        let body = local_frame::Body::Claim(LocalClaim {
            request_id,
            claim: Some(claim),
            timeout_ms: millis(timeout),
        });
        let waiter = self.claims.register(request_id, frame(body.clone()));
        self.send(body);
        let reply = waiter.reply(timeout).await;
        reply.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Reports the outcome of a claim. It is sent again on every new connection until it is acknowledged.
    pub fn resolve_claim(&self, resolution: ResolveClaim) {
        let request_id = self.next_request_id();
        let body = local_frame::Body::ResolveClaim(LocalResolveClaim {
            request_id,
            resolution: Some(resolution),
        });
        let resolutions = &self.claim_resolutions;
        resolutions.register_unawaited(request_id, frame(body.clone()));
        self.send(body);
    }

    /// Returns whether every resolution of a claim is acknowledged.
    #[must_use]
    pub fn claims_are_resolved(&self) -> bool {
        self.claim_resolutions.is_empty()
    }

    /// Reports to the agent that the proxy is draining, so that an agent that was told to end serves the proxy until
    /// its end. The state of the proxy must be draining already, since new connections report it by that.
    pub fn report_draining(&self) {
        self.send(local_frame::Body::Draining(ProxyDraining {}));
    }

    /// Queues a frame that needs no reply. It is dropped if it is not sent before the connection to the
    /// agent fails.
    pub fn send(&self, body: local_frame::Body) {
        // The receiver is not dropped before the process exits.
        let _ = self.frames.send(frame(body));
    }

    /// Passes a quota reply to its requester. A grant whose requester stopped waiting is released.
    ///
    /// After a pause of the process a grant may have outlived its lease, and the leader may have granted
    /// its tokens again. Such a grant is not used, and the request is sent again.
    pub(super) fn complete_quota(
        &self,
        request_id: u64,
        answer: AdmissionReply,
        use_within: Option<Duration>,
    ) {
        // The lock is held to the end, so that the counts change together with the requester's reply.
        let mut granted_streams = self.granted_streams.lock();
        let Some(request) = self.quota_in_flight(request_id) else {
            return;
        };
        if answer == AdmissionReply::Granted
            && self.resend_quota_if_late(request_id, use_within, &request)
        {
            return;
        }
        let delivery = self.quotas.complete(request_id, answer);
        if answer != AdmissionReply::Granted {
            return;
        }
        match delivery {
            Delivery::Abandoned => self.send(release_body(QuotaRelease {
                tenant: request.tenant,
                stream: request.stream,
                unused: true,
            })),
            Delivery::Done if request.stream => granted_streams.add(&request.tenant),
            Delivery::Done => {}
        }
    }

    fn resend_quota_if_late(
        &self,
        request_id: u64,
        use_within: Option<Duration>,
        request: &LocalQuotaRequest,
    ) -> bool {
        let now = monotonic_now();
        let resent = self.quotas.resend_if_late(request_id, now, use_within);
        let Some(body) = resent.and_then(|frame| frame.body) else {
            return false;
        };
        if request.stream {
            // The agent counts the slot as taken, so it is released; the token is not returned.
            self.send(release_body(QuotaRelease {
                tenant: request.tenant.clone(),
                stream: true,
                unused: false,
            }));
        }
        self.send(body);
        true
    }

    fn quota_in_flight(&self, request_id: u64) -> Option<LocalQuotaRequest> {
        match self.quotas.frame(request_id)?.body {
            Some(local_frame::Body::QuotaRequest(request)) => Some(request),
            _ => None,
        }
    }

    /// Passes the reply to a claim to its requester. If the requester stopped waiting, it has already
    /// resolved the claim as not run.
    pub(super) fn complete_claim(&self, request_id: u64, answer: ClaimAnswer) {
        self.claims.complete(request_id, answer);
    }

    /// Records that the resolution of a claim is acknowledged.
    pub(super) fn complete_claim_resolution(&self, request_id: u64) {
        self.claim_resolutions.complete(request_id, ());
    }

    /// Returns the frame with the granted stream slots, which a new connection sends before any quota
    /// request or release.
    ///
    /// `drop_queued` drops the frames that were queued for the old connection. It runs under the lock, so
    /// the counts do not change in between.
    pub(super) fn open_streams(&self, drop_queued: impl FnOnce()) -> LocalFrame {
        let granted_streams = self.granted_streams.lock();
        drop_queued();
        frame(local_frame::Body::OpenStreams(granted_streams.to_message()))
    }

    /// Returns the frames of the requests in flight, to be sent again on a new connection.
    pub(super) fn resend_all(&self) -> Vec<LocalFrame> {
        let now = monotonic_now();
        let mut frames = self.claim_resolutions.resend_all(now);
        frames.extend(self.claims.resend_all(now));
        frames.extend(self.quotas.resend_all(now));
        frames
    }

    fn next_request_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
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
