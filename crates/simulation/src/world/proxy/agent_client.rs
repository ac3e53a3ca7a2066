//! Requests of a proxy to its agent.

use futures::channel::oneshot;
use futures::future::{Either, select};
use millford_api::command::{Claim, ResolveClaim};
use millford_api::local::{
    LocalClaim, LocalFrame, LocalQuotaRelease, LocalQuotaRequest, LocalResolveClaim, local_frame,
};
use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_data_plane::agent_message::{
    AdmissionReply, AdmissionRequest, ClaimAnswer, QuotaRelease,
};
use millford_data_plane::frame_handler::FrameOutcome;

use crate::history::RequestNumber;
use crate::world::injected_defect::InjectedDefect;
use crate::world::proxy::action::ProxyAction;
use crate::world::proxy::in_flight_requests::InFlightRequests;
use crate::world::proxy::port::{SharedPort, lock};

/// An injected defect refuses one in this many quota requests.
const INJECTED_REFUSAL_DIVISOR: u64 = 5;

/// Requests that the agent has not answered. They are sent again on a new connection to the agent, as in
/// the daemon.
#[derive(Default)]
pub struct AgentClient {
    /// Injected defect, if any.
    defect: Option<InjectedDefect>,
    quotas: InFlightRequests<AdmissionReply>,
    claims: InFlightRequests<ClaimAnswer>,
    resolutions: InFlightRequests<()>,
}

impl AgentClient {
    /// Creates a client without requests, and with an injected defect, if any.
    #[must_use]
    pub fn new(defect: Option<InjectedDefect>) -> Self {
        Self {
            defect,
            ..Self::default()
        }
    }

    /// Requests an admission, and records it if granted.
    pub async fn admit(
        &self,
        port: &SharedPort,
        client_request: RequestNumber,
        request: AdmissionRequest,
    ) -> AdmissionReply {
        let reply = match self.injected_reply(port) {
            Some(reply) => reply,
            None => self.request_quota(port, request).await,
        };
        if reply == AdmissionReply::Granted {
            let admitted = ProxyAction::Admitted(client_request);
            lock(port).actions.push(admitted);
        }
        reply
    }

    /// Returns the reply that an injected defect gives in place of the agent's.
    fn injected_reply(&self, port: &SharedPort) -> Option<AdmissionReply> {
        match self.defect {
            Some(InjectedDefect::UnlimitedQuota) => Some(AdmissionReply::Granted),
            Some(InjectedDefect::FalseQuotaRefusal)
                if lock(port).random().is_multiple_of(INJECTED_REFUSAL_DIVISOR) =>
            {
                Some(AdmissionReply::Refused {
                    code: ResultCode::QuotaExceeded,
                    retry_after_ms: 0,
                })
            }
            _ => None,
        }
    }

    async fn request_quota(&self, port: &SharedPort, request: AdmissionRequest) -> AdmissionReply {
        let request_id = lock(port).next_number();
        let body = local_frame::Body::QuotaRequest(LocalQuotaRequest {
            request_id,
            tenant: request.tenant,
            stream: request.stream,
            timeout_ms: millis(request.timeout),
            waited_ms: 0,
        });
        let reply = self
            .quotas
            .insert(lock(port).now, request_id, frame(body.clone()));
        send(port, body);
        let reply = with_timeout(port, request.timeout, reply).await;
        reply.unwrap_or(AdmissionReply::Refused {
            code: ResultCode::QuotaUnavailable,
            retry_after_ms: 0,
        })
    }

    /// Returns a stream slot, an unused token, or both, to the agent.
    pub fn release_quota(
        &self,
        port: &SharedPort,
        client_request: RequestNumber,
        release: QuotaRelease,
    ) {
        if release.unused {
            let returned = ProxyAction::AdmissionReturned(client_request);
            lock(port).actions.push(returned);
        }
        send_release(port, release.tenant, release.stream, release.unused);
    }

    /// Claims a run under an idempotency key. Without an answer within `timeout` the claim is unavailable.
    pub async fn claim(&self, port: &SharedPort, claim: Claim, timeout: Duration) -> ClaimAnswer {
        let request_id = lock(port).next_number();
        let body = local_frame::Body::Claim(LocalClaim {
            request_id,
            claim: Some(claim),
            timeout_ms: millis(timeout),
        });
        let answer = self
            .claims
            .insert(lock(port).now, request_id, frame(body.clone()));
        send(port, body);
        let answer = with_timeout(port, timeout, answer).await;
        answer.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Sends the outcome of a claim. It is sent again on every new connection until it is acknowledged.
    pub fn resolve(&self, port: &SharedPort, resolution: ResolveClaim) {
        let request_id = lock(port).next_number();
        let body = local_frame::Body::ResolveClaim(LocalResolveClaim {
            request_id,
            resolution: Some(resolution),
        });
        self.resolutions
            .insert_without_requester(lock(port).now, request_id, frame(body.clone()));
        send(port, body);
    }

    /// Passes an answer to its requester. A grant whose requester no longer waits is returned.
    pub fn handle_answer(&self, port: &SharedPort, outcome: &FrameOutcome) {
        match *outcome {
            FrameOutcome::Quota {
                request_id,
                answer,
                use_within,
            } => self.handle_admission(port, request_id, answer, use_within),
            FrameOutcome::Claim { request_id, answer } => {
                self.claims.answer(request_id, answer);
            }
            FrameOutcome::ClaimResolved { request_id } => {
                self.resolutions.answer(request_id, ());
            }
            _ => {}
        }
    }

    fn handle_admission(
        &self,
        port: &SharedPort,
        request_id: u64,
        reply: AdmissionReply,
        use_within: Option<Duration>,
    ) {
        let granted = reply == AdmissionReply::Granted;
        if granted && self.request_again_if_late(port, request_id, use_within) {
            return;
        }
        let unclaimed = self.quotas.answer(request_id, reply);
        if let Some(local_frame::Body::QuotaRequest(request)) =
            unclaimed.and_then(|frame| frame.body)
            && granted
        {
            send_release(port, request.tenant, request.stream, true);
        }
    }

    fn request_again_if_late(
        &self,
        port: &SharedPort,
        request_id: u64,
        use_within: Option<Duration>,
    ) -> bool {
        let now = lock(port).now;
        let renewed = self.quotas.renew_late(now, request_id, use_within);
        let Some(local_frame::Body::QuotaRequest(request)) = renewed.and_then(|frame| frame.body)
        else {
            return false;
        };
        if request.stream {
            // The agent counts the slot as in use, so it is returned; the token is spent.
            send_release(port, request.tenant.clone(), true, false);
        }
        send(port, local_frame::Body::QuotaRequest(request));
        true
    }

    /// Returns the frames to send again on a new connection.
    #[must_use]
    pub fn in_flight_frames(&self, now: MonotonicTime) -> Vec<LocalFrame> {
        let mut frames = self.resolutions.renew(now);
        frames.extend(self.claims.renew(now));
        frames.extend(self.quotas.renew(now));
        frames
    }
}

async fn with_timeout<T>(
    port: &SharedPort,
    timeout: Duration,
    mut answer: oneshot::Receiver<T>,
) -> Option<T> {
    let timer = {
        let mut port = lock(port);
        let at = port.now + timeout;
        port.timer(at)
    };
    match select(&mut answer, timer).await {
        Either::Left((answer, _)) => answer.ok(),
        // An answer that arrives at the same time as the timeout still counts.
        Either::Right(_) => answer.try_recv().ok().flatten(),
    }
}

fn send_release(port: &SharedPort, tenant: String, stream: bool, unused: bool) {
    let release = LocalQuotaRelease {
        tenant,
        stream,
        unused,
    };
    send(port, local_frame::Body::QuotaRelease(release));
}

fn send(port: &SharedPort, body: local_frame::Body) {
    let action = ProxyAction::ToAgent(frame(body));
    lock(port).actions.push(action);
}

fn frame(body: local_frame::Body) -> LocalFrame {
    LocalFrame { body: Some(body) }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
