//! What the requests of a proxy ask of its agent, and how answers find them.

use futures::channel::oneshot;
use futures::future::{Either, select};
use millford_api::command::{Claim, ResolveClaim};
use millford_api::local::{
    LocalClaim, LocalFrame, LocalQuotaRelease, LocalQuotaRequest, LocalResolveClaim, local_frame,
};
use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_proxy::control::frame_handler::FrameOutcome;
use millford_proxy::request::message::{
    AdmissionReply, AdmissionRequest, ClaimAnswer, QuotaRelease,
};

use crate::history::CallNumber;
use crate::world::defect::Defect;
use crate::world::proxy::action::ProxyAction;
use crate::world::proxy::asks::Asks;
use crate::world::proxy::port::{SharedPort, lock};

/// Asks without an answer. A new connection to the agent sends them again, as in the daemon.
#[derive(Default)]
pub struct AgentDesk {
    /// A planted defect, if any.
    pub defect: Option<Defect>,
    quotas: Asks<AdmissionReply>,
    claims: Asks<ClaimAnswer>,
    settles: Asks<()>,
}

impl AgentDesk {
    /// Asks for one admission, and notes a granted one.
    pub async fn ask_quota(
        &self,
        port: &SharedPort,
        call: CallNumber,
        ask: AdmissionRequest,
    ) -> AdmissionReply {
        let answer = match self.planted_answer(port) {
            Some(answer) => answer,
            None => self.ask_agent(port, ask).await,
        };
        if answer == AdmissionReply::Granted {
            lock(port).actions.push(ProxyAction::Admitted(call));
        }
        answer
    }

    fn planted_answer(&self, port: &SharedPort) -> Option<AdmissionReply> {
        match self.defect {
            Some(Defect::GrantsAll) => Some(AdmissionReply::Granted),
            Some(Defect::RefusesSome) if lock(port).random().is_multiple_of(5) => {
                Some(AdmissionReply::Refused {
                    code: ResultCode::QuotaExceeded,
                    retry_after_ms: 0,
                })
            }
            _ => None,
        }
    }

    async fn ask_agent(&self, port: &SharedPort, ask: AdmissionRequest) -> AdmissionReply {
        let request_id = lock(port).next_number();
        let body = local_frame::Body::QuotaRequest(LocalQuotaRequest {
            request_id,
            tenant: ask.tenant,
            stream: ask.stream,
            timeout_ms: millis(ask.timeout),
            waited_ms: 0,
        });
        let asked = self
            .quotas
            .ask(lock(port).now, request_id, frame(body.clone()));
        send(port, body);
        let answer = within(port, ask.timeout, asked).await;
        answer.unwrap_or(AdmissionReply::Refused {
            code: ResultCode::QuotaUnavailable,
            retry_after_ms: 0,
        })
    }

    /// Gives a slot or a token back.
    pub fn release_quota(&self, port: &SharedPort, call: CallNumber, release: QuotaRelease) {
        if release.unused {
            lock(port)
                .actions
                .push(ProxyAction::AdmissionReturned(call));
        }
        let body = local_frame::Body::QuotaRelease(LocalQuotaRelease {
            tenant: release.tenant,
            stream: release.stream,
            unused: release.unused,
        });
        send(port, body);
    }

    /// Reserves a run.
    pub async fn claim(&self, port: &SharedPort, claim: Claim, timeout: Duration) -> ClaimAnswer {
        let request_id = lock(port).next_number();
        let body = local_frame::Body::Claim(LocalClaim {
            request_id,
            claim: Some(claim),
            timeout_ms: millis(timeout),
        });
        let asked = self
            .claims
            .ask(lock(port).now, request_id, frame(body.clone()));
        send(port, body);
        let answer = within(port, timeout, asked).await;
        answer.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Records an outcome until it is acknowledged.
    pub fn settle(&self, port: &SharedPort, settle: ResolveClaim) {
        let request_id = lock(port).next_number();
        let body = local_frame::Body::ResolveClaim(LocalResolveClaim {
            request_id,
            resolution: Some(settle),
        });
        self.settles
            .keep(lock(port).now, request_id, frame(body.clone()));
        send(port, body);
    }

    /// Hands an answer to whoever waits. A grant that came too late is given back.
    pub fn answered(&self, port: &SharedPort, outcome: FrameOutcome) {
        match outcome {
            FrameOutcome::Quota {
                request_id,
                answer,
                use_within,
            } => {
                if answer == AdmissionReply::Granted
                    && self.ask_again_if_late(port, request_id, use_within)
                {
                    return;
                }
                let unclaimed = self.quotas.answered(request_id, answer);
                if let Some(local_frame::Body::QuotaRequest(ask)) =
                    unclaimed.and_then(|frame| frame.body)
                    && answer == AdmissionReply::Granted
                {
                    let body = local_frame::Body::QuotaRelease(LocalQuotaRelease {
                        tenant: ask.tenant,
                        stream: ask.stream,
                        unused: true,
                    });
                    send(port, body);
                }
            }
            FrameOutcome::Claim { request_id, answer } => {
                self.claims.answered(request_id, answer);
            }
            FrameOutcome::Settled { request_id } => {
                self.settles.answered(request_id, ());
            }
            _ => {}
        }
    }

    fn ask_again_if_late(
        &self,
        port: &SharedPort,
        request_id: u64,
        use_within: Option<Duration>,
    ) -> bool {
        let now = lock(port).now;
        let renewed = self.quotas.renew_late(now, request_id, use_within);
        let Some(local_frame::Body::QuotaRequest(ask)) = renewed.and_then(|frame| frame.body)
        else {
            return false;
        };
        if ask.stream {
            // The agent counts the slot as taken; its token is gone.
            let release = LocalQuotaRelease {
                tenant: ask.tenant.clone(),
                stream: true,
                unused: false,
            };
            send(port, local_frame::Body::QuotaRelease(release));
        }
        send(port, local_frame::Body::QuotaRequest(ask));
        true
    }

    /// Frames to send again on a new connection.
    #[must_use]
    pub fn unanswered(&self, now: MonotonicTime) -> Vec<LocalFrame> {
        let mut frames = self.settles.renew(now);
        frames.extend(self.claims.renew(now));
        frames.extend(self.quotas.renew(now));
        frames
    }
}

async fn within<T>(
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
        Either::Left((given, _)) => given.ok(),
        // An answer given at this very moment is taken all the same.
        Either::Right(_) => answer.try_recv().ok().flatten(),
    }
}

fn send(port: &SharedPort, body: local_frame::Body) {
    lock(port).actions.push(ProxyAction::ToAgent(frame(body)));
}

fn frame(body: local_frame::Body) -> LocalFrame {
    LocalFrame { body: Some(body) }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
