//! Applies the agent's frames to the state of the proxy. It does no I/O: the daemon and the simulator
//! transport the frames.

use std::sync::Arc;

use millford_api::command::RunOutcome;
use millford_api::local::{
    AgentStatus, LocalClaimReply, LocalFrame, LocalQuotaReply, ProxyApplied, local_frame,
};
use millford_core::{Duration, ResultCode};

use crate::agent_message::{AdmissionReply, ClaimAnswer};
use crate::control_view::{ControlView, ViewOutcome};
use crate::proxy_state::ProxyState;

/// Action that the caller must take after a frame was handled.
#[derive(Clone, Debug, PartialEq)]
pub enum FrameOutcome {
    /// No action is needed.
    Nothing,
    /// The view changed: call [`FrameHandler::apply_changes`] once no more frames are pending.
    Changed,
    /// A change is missing: reconnect to the agent, which then sends complete snapshots.
    Reconnect,
    /// Pass the reply to a quota request to its requester.
    Quota {
        /// Id of the quota request.
        request_id: u64,
        /// Grant, or refusal with its reason.
        answer: AdmissionReply,
        /// How long a grant is valid after the request was last sent; `None` if there is no limit.
        use_within: Option<Duration>,
    },
    /// Pass the reply to a claim to its requester.
    Claim {
        /// Id of the claim request.
        request_id: u64,
        /// Grant, or the reason why the request must not run.
        answer: ClaimAnswer,
    },
    /// The agent acknowledged the resolution of a claim.
    ClaimResolved {
        /// Id of the resolution request.
        request_id: u64,
    },
}

/// Receives the control state of one proxy from its agent and applies it to the [`ProxyState`].
#[derive(Debug)]
pub struct FrameHandler {
    state: Arc<ProxyState>,
    view: ControlView,
    /// Whether the agent has ever reported a confirmed snapshot of every shard.
    is_complete: bool,
    /// Configuration revision of the routing table; 0 before the first one.
    applied_revision: u64,
}

impl FrameHandler {
    /// Creates a handler that applies control state to `state` and has received none yet.
    #[must_use]
    pub fn new(state: Arc<ProxyState>) -> Self {
        Self {
            state,
            view: ControlView::default(),
            is_complete: false,
            applied_revision: 0,
        }
    }

    /// Handles one frame from the agent.
    pub fn handle(&mut self, frame: LocalFrame) -> FrameOutcome {
        match frame.body {
            Some(local_frame::Body::Snapshot(snapshot)) => {
                view_outcome(self.view.apply_snapshot(snapshot))
            }
            Some(local_frame::Body::Change(change)) => view_outcome(self.view.apply_change(change)),
            Some(local_frame::Body::Status(status)) => {
                self.apply_status(status);
                FrameOutcome::Nothing
            }
            Some(local_frame::Body::QuotaReply(reply)) => quota_outcome(&reply),
            Some(local_frame::Body::ClaimReply(reply)) => claim_outcome(&reply),
            Some(local_frame::Body::ResolveClaimReply(reply)) => FrameOutcome::ClaimResolved {
                request_id: reply.request_id,
            },
            Some(local_frame::Body::LoadSnapshot(snapshot)) => {
                self.state.load_table.merge_snapshot(&snapshot);
                FrameOutcome::Nothing
            }
            _ => FrameOutcome::Nothing,
        }
    }

    /// Rebuilds the routing table from the view. Returns the frame that reports the revision to the
    /// agent if it is newer than the last one.
    pub fn apply_changes(&mut self) -> Option<LocalFrame> {
        let table = self.view.table();
        let revision = table.revision();
        // The position of each shard never decreases, so the revision does not either. This check guards
        // against an agent that sends invalid data.
        if revision < self.applied_revision {
            return None;
        }
        let known = |id: &str| table.pools().any(|pool| pool.backend(id).is_some());
        self.state.health.keep_only(known);
        let backends = table.pools().flat_map(|pool| pool.backends());
        let ids = backends.map(|backend| backend.id.as_str());
        self.state.health.watch(ids);
        self.state.set_table(table);
        let is_newer = revision > self.applied_revision;
        self.applied_revision = revision;
        self.update_readiness();
        is_newer.then(|| self.applied_revision_frame())
    }

    /// Returns the frame that reports the applied revision to the agent.
    #[must_use]
    pub fn applied_revision_frame(&self) -> LocalFrame {
        LocalFrame {
            body: Some(local_frame::Body::Applied(ProxyApplied {
                revision: self.applied_revision,
            })),
        }
    }

    /// Returns whether the proxy is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.state.is_draining()
    }

    /// Records that the connection to the agent is lost. Returns the configuration revision that stays applied until
    /// the next connection.
    pub fn agent_lost(&self) -> u64 {
        self.state.metrics.agent_connected.set(0);
        self.applied_revision
    }

    fn apply_status(&mut self, status: AgentStatus) {
        self.is_complete |= status.complete;
        self.state
            .metrics
            .agent_connected
            .set(i64::from(status.connected));
        self.update_readiness();
    }

    /// Sets the proxy ready once every shard was confirmed and a configuration is applied. It then stays
    /// ready.
    fn update_readiness(&mut self) {
        if self.is_complete && self.applied_revision > 0 {
            self.state.set_ready();
        }
    }
}

fn view_outcome(outcome: ViewOutcome) -> FrameOutcome {
    match outcome {
        ViewOutcome::Changed => FrameOutcome::Changed,
        ViewOutcome::Stale => FrameOutcome::Nothing,
        ViewOutcome::Gap => FrameOutcome::Reconnect,
    }
}

fn quota_outcome(reply: &LocalQuotaReply) -> FrameOutcome {
    let answer = if reply.granted {
        AdmissionReply::Granted
    } else {
        AdmissionReply::Refused {
            code: ResultCode::from_number(reply.code)
                .filter(|code| *code != ResultCode::Ok)
                .unwrap_or(ResultCode::QuotaUnavailable),
            retry_after_ms: reply.retry_after_ms,
        }
    };
    let limit = Duration::from_millis(u64::from(reply.use_within_ms));
    FrameOutcome::Quota {
        request_id: reply.request_id,
        answer,
        use_within: (reply.use_within_ms > 0).then_some(limit),
    }
}

fn claim_outcome(reply: &LocalClaimReply) -> FrameOutcome {
    let code = ResultCode::from_number(reply.code);
    let answer = match (code, reply.result.as_ref()) {
        (Some(ResultCode::IdempotencyKeyReused), _) => ClaimAnswer::KeyReused,
        (Some(ResultCode::Ok), Some(result)) if result.granted => ClaimAnswer::Granted,
        // An outcome that this version does not define is treated as "may have run".
        (Some(ResultCode::Ok), Some(result)) => {
            ClaimAnswer::Taken(RunOutcome::try_from(result.outcome).unwrap_or_default())
        }
        (Some(ResultCode::AlreadyCompleted), _) => ClaimAnswer::Taken(RunOutcome::RunCompleted),
        (Some(ResultCode::AlreadyFailed), _) => ClaimAnswer::Taken(RunOutcome::RunFailed),
        (Some(ResultCode::MayHaveRun), _) => ClaimAnswer::Taken(RunOutcome::RunUnknown),
        _ => ClaimAnswer::Unavailable,
    };
    FrameOutcome::Claim {
        request_id: reply.request_id,
        answer,
    }
}
