//! What the requests of a proxy ask of its agent, and how answers find them.

use std::future::Future;

use futures::future::{Either, select};
use millford_api::command::{Claim, SettleClaim};
use millford_api::local::{
    LocalClaim, LocalFrame, LocalQuotaAsk, LocalQuotaRelease, LocalSettle, local_frame,
};
use millford_core::{Duration, ResultCode};
use millford_proxy::control::frame_handler::FrameOutcome;
use millford_proxy::daemon::outstanding::Outstanding;
use millford_proxy::request::message::{ClaimAnswer, QuotaAnswer, QuotaAsk, QuotaRelease};

use crate::history::CallNumber;
use crate::world::defect::Defect;
use crate::world::proxy::action::ProxyAction;
use crate::world::proxy::port::{SharedPort, lock};

/// Asks without an answer. A new connection to the agent sends them again, as in the daemon.
#[derive(Default)]
pub struct AgentDesk {
    /// A planted defect, if any.
    pub defect: Option<Defect>,
    quotas: Outstanding<QuotaAnswer>,
    claims: Outstanding<ClaimAnswer>,
    settles: Outstanding<()>,
}

impl AgentDesk {
    /// Asks for one admission, and notes a granted one.
    pub async fn ask_quota(
        &self,
        port: &SharedPort,
        call: CallNumber,
        ask: QuotaAsk,
    ) -> QuotaAnswer {
        let answer = match self.planted_answer(port) {
            Some(answer) => answer,
            None => self.ask_agent(port, ask).await,
        };
        if answer == QuotaAnswer::Granted {
            lock(port).actions.push(ProxyAction::Admitted(call));
        }
        answer
    }

    fn planted_answer(&self, port: &SharedPort) -> Option<QuotaAnswer> {
        match self.defect {
            Some(Defect::GrantsAll) => Some(QuotaAnswer::Granted),
            Some(Defect::RefusesSome) if lock(port).random() % 5 == 0 => {
                Some(QuotaAnswer::Refused {
                    code: ResultCode::QuotaExceeded,
                    retry_after_ms: 0,
                })
            }
            _ => None,
        }
    }

    async fn ask_agent(&self, port: &SharedPort, ask: QuotaAsk) -> QuotaAnswer {
        let request_id = lock(port).next_number();
        let body = local_frame::Body::QuotaAsk(LocalQuotaAsk {
            request_id,
            tenant: ask.tenant,
            stream: ask.stream,
            timeout_ms: millis(ask.timeout),
        });
        let mut asked = self.quotas.ask(request_id, frame(body.clone()));
        send(port, body);
        let answer = within(port, ask.timeout, asked.answer()).await;
        answer.unwrap_or(QuotaAnswer::Refused {
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
        let mut asked = self.claims.ask(request_id, frame(body.clone()));
        send(port, body);
        let answer = within(port, timeout, asked.answer()).await;
        answer.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Records an outcome until it is acknowledged.
    pub fn settle(&self, port: &SharedPort, settle: SettleClaim) {
        let request_id = lock(port).next_number();
        let body = local_frame::Body::Settle(LocalSettle {
            request_id,
            settle: Some(settle),
        });
        self.settles.keep(request_id, frame(body.clone()));
        send(port, body);
    }

    /// Hands an answer to whoever waits.
    pub fn answered(&self, outcome: FrameOutcome) {
        match outcome {
            FrameOutcome::Quota { request_id, answer } => self.quotas.answered(request_id, answer),
            FrameOutcome::Claim { request_id, answer } => self.claims.answered(request_id, answer),
            FrameOutcome::Settled { request_id } => self.settles.answered(request_id, ()),
            _ => {}
        }
    }

    /// Frames to send again on a new connection.
    #[must_use]
    pub fn unanswered(&self) -> Vec<LocalFrame> {
        let mut frames = self.settles.frames();
        frames.extend(self.claims.frames());
        frames.extend(self.quotas.frames());
        frames
    }
}

async fn within<T>(
    port: &SharedPort,
    timeout: Duration,
    answer: impl Future<Output = Option<T>>,
) -> Option<T> {
    let timer = {
        let mut port = lock(port);
        let at = port.now + timeout;
        port.timer(at)
    };
    let answer = std::pin::pin!(answer);
    match select(answer, timer).await {
        Either::Left((answer, _)) => answer,
        Either::Right(_) => None,
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
