//! Simulated callers: their requests, keys and resends.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::{MonotonicTime, ResultCode, RunState};
use millford_proxy::request::caller::CallerHead;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::history::{
    Chunk, ContentNumber, ProxyNodeNumber, Repeatability, RequestEnd, RequestNumber, RequestSent,
};
use crate::scenario::{Scenario, Topology, Workload};
use crate::world::client_request::RequestKind;
use crate::world::injected_defect::InjectedDefect;
use crate::world::received_answer::{AnswerEnd, ReceivedAnswer};

/// Largest number of sends of one content, the first included.
const MAX_SENDS: u32 = 4;
/// Share of a tenant's requests that use the revoked key, once it has one.
const OLD_KEY_SHARE: f64 = 0.3;
/// Share of requests of the hot tenant.
const HOT_TENANT_SHARE: f64 = 0.9;
const MICROS_PER_SECOND: u64 = 1_000_000;
const PERCENT: u32 = 100;

/// A client request whose caller waits for the answer or will send it again.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// The request as recorded in the history.
    pub sent: RequestSent,
    /// Kind of the request, which determines its route.
    pub kind: RequestKind,
    /// Number of sends of the content, this one included.
    pub sends: u32,
    answer: ReceivedAnswer,
    /// Arrival of the latest part at the caller, so that parts keep their order.
    last_arrival: MonotonicTime,
    /// Whether the end has reached the caller.
    ended: bool,
}

/// A request to send, for the first time or again.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Content of the request; every resend has the same.
    pub content: ContentNumber,
    /// Tenant of the caller, from 0.
    pub tenant: u16,
    /// Kind of the request, which determines its route.
    pub kind: RequestKind,
    /// Number of sends of the content, this one included.
    pub sends: u32,
}

/// Keys that a tenant's callers use.
#[derive(Clone, Debug)]
struct CallerTenant {
    /// Serial number of the current key.
    key: u32,
    /// Serial number of a revoked key that some callers still use.
    old_key: Option<u32>,
}

/// All callers of a run.
pub struct Callers {
    workload: Workload,
    topology: Topology,
    defect: Option<InjectedDefect>,
    /// Keys that each tenant's callers use, by tenant number from 0.
    tenants: Vec<CallerTenant>,
    /// Client requests that are in progress or will be sent again.
    open_requests: BTreeMap<RequestNumber, OpenRequest>,
    /// Product of the factors of the active bursts; 1 without one.
    burst: u32,
    /// Number of active faults that make tenant 0 send most requests.
    hot_tenant_faults: u32,
    last_request: u64,
    last_content: u64,
}

impl Callers {
    /// Creates the callers of a scenario.
    #[must_use]
    pub fn new(scenario: &Scenario, topology: Topology, defect: Option<InjectedDefect>) -> Self {
        let tenants = (0..topology.tenants).map(|tenant| CallerTenant {
            key: u32::from(tenant),
            old_key: None,
        });
        Self {
            workload: scenario.workload,
            topology,
            defect,
            tenants: tenants.collect(),
            open_requests: BTreeMap::new(),
            burst: 1,
            hot_tenant_faults: 0,
            last_request: 0,
            last_content: 0,
        }
    }

    /// Draws the time to the next request; `None` if the rate is 0.
    pub fn draw_gap(&self, lookup: bool, random: &mut ChaCha8Rng) -> Option<Duration> {
        let rate = if lookup {
            self.workload.lookups_per_second
        } else {
            self.workload.requests_per_second
        };
        let rate = u64::from(rate * self.burst);
        let mean = MICROS_PER_SECOND.checked_div(rate)?;
        let micros = random.random_range(0..=mean * 2);
        Some(Duration::from_micros(micros))
    }

    /// Draws kind and tenant of a request with new content.
    pub fn draw_submission(&mut self, lookup: bool, random: &mut ChaCha8Rng) -> Submission {
        let kind = if lookup {
            RequestKind::Lookup
        } else {
            self.draw_kind(random)
        };
        let tenant = self.draw_tenant(random);
        self.last_content += 1;
        Submission {
            content: ContentNumber(self.last_content),
            tenant,
            kind,
            sends: 1,
        }
    }

    fn draw_kind(&self, random: &mut ChaCha8Rng) -> RequestKind {
        let workload = self.workload;
        let percent = random.random_range(0..PERCENT);
        let stream = random.random_bool(0.5);
        if percent < workload.keyed_percent + workload.unkeyed_percent {
            let keyed = percent < workload.keyed_percent;
            return RequestKind::Once { keyed, stream };
        }
        if random.random_bool(0.6) {
            RequestKind::Caption
        } else {
            RequestKind::Question { stream }
        }
    }

    /// Draws a tenant. The first two are the most likely; a hot tenant sends [`HOT_TENANT_SHARE`] of all
    /// requests.
    fn draw_tenant(&self, random: &mut ChaCha8Rng) -> u16 {
        let tenants = self.topology.tenants.max(1);
        if self.hot_tenant_faults > 0 && random.random_bool(HOT_TENANT_SHARE) {
            return 0;
        }
        match random.random_range(0..10) {
            0..4 => 0,
            4..7 => 1 % tenants,
            _ => random.random_range(0..tenants),
        }
    }

    /// Opens a client request with a key of its tenant, to a random proxy node.
    pub fn open(
        &mut self,
        submission: Submission,
        now: MonotonicTime,
        random: &mut ChaCha8Rng,
    ) -> RequestSent {
        let kind = submission.kind;
        let proxy_node = random.random_range(1..=self.topology.proxy_nodes.max(1));
        let key = self.draw_key(submission.tenant, random);
        self.last_request += 1;
        let sent = RequestSent {
            client_request: RequestNumber(self.last_request),
            content: submission.content,
            tenant: submission.tenant,
            key,
            proxy_node: ProxyNodeNumber(proxy_node),
            repeatability: kind.repeatability(),
            resume: kind.resume(),
            stream: kind.stream(),
        };
        let open = OpenRequest {
            sent,
            kind,
            sends: submission.sends,
            answer: ReceivedAnswer::default(),
            last_arrival: now,
            ended: false,
        };
        self.open_requests.insert(sent.client_request, open);
        sent
    }

    fn draw_key(&self, tenant: u16, random: &mut ChaCha8Rng) -> u32 {
        let tenant = &self.tenants[usize::from(tenant)];
        match tenant.old_key {
            Some(old) if random.random_bool(OLD_KEY_SHARE) => old,
            _ => tenant.key,
        }
    }

    /// Returns a client request whose end has not reached its caller yet.
    #[must_use]
    pub fn waiting(&self, client_request: RequestNumber) -> Option<&OpenRequest> {
        self.open_requests
            .get(&client_request)
            .filter(|open| !open.ended)
    }

    /// Returns the serial number of the key in a client request.
    #[must_use]
    pub fn key_of(&self, client_request: RequestNumber) -> Option<u32> {
        let open = self.open_requests.get(&client_request)?;
        Some(open.sent.key)
    }

    /// Returns the serial number of the current key of a client request's tenant.
    #[must_use]
    pub fn present_key_of(&self, client_request: RequestNumber) -> Option<u32> {
        let open = self.open_requests.get(&client_request)?;
        Some(self.tenants[usize::from(open.sent.tenant)].key)
    }

    /// Stores the head of an answer.
    pub fn receive_head(&mut self, client_request: RequestNumber, head: &CallerHead) {
        if let Some(open) = self.open_requests.get_mut(&client_request) {
            open.answer.receive_head(head);
        }
    }

    /// Stores a part of an answer's body. Returns the chunks in it if the answer is a stream.
    pub fn receive_bytes(&mut self, client_request: RequestNumber, bytes: &[u8]) -> Vec<Chunk> {
        match self.open_requests.get_mut(&client_request) {
            Some(open) => open.answer.receive_bytes(bytes, open.sent.stream),
            None => Vec::new(),
        }
    }

    /// Ends an answer; `complete` is whether its framing was complete.
    pub fn finish_answer(
        &mut self,
        client_request: RequestNumber,
        complete: bool,
    ) -> Option<AnswerEnd> {
        let open = self.open_requests.get_mut(&client_request)?;
        Some(open.answer.finish(open.sent.stream, complete, self.defect))
    }

    /// Returns when a part that is sent now arrives: at `earliest`, but never before an earlier part.
    pub fn arrival(
        &mut self,
        client_request: RequestNumber,
        earliest: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let open = self.open_requests.get_mut(&client_request)?;
        open.last_arrival = open.last_arrival.max(earliest);
        Some(open.last_arrival)
    }

    /// Marks a client request as ended. Returns whether the caller will send the content again, in which case
    /// the request stays open.
    pub fn end(
        &mut self,
        client_request: RequestNumber,
        end: RequestEnd,
        random: &mut ChaCha8Rng,
    ) -> bool {
        let share = f64::from(self.workload.resend_percent) / f64::from(PERCENT);
        let Some(open) = self.open_requests.get_mut(&client_request) else {
            return false;
        };
        open.ended = true;
        let resends = may_resend(end, open.sent.repeatability)
            && open.sends < MAX_SENDS
            && random.random_bool(share);
        if !resends {
            self.open_requests.remove(&client_request);
        }
        resends
    }

    /// Closes a client request that is sent again, and returns the next send of its content.
    pub fn resubmit(&mut self, client_request: RequestNumber) -> Option<Submission> {
        let open = self.open_requests.remove(&client_request)?;
        Some(Submission {
            content: open.sent.content,
            tenant: open.sent.tenant,
            kind: open.kind,
            sends: open.sends + 1,
        })
    }

    /// Replaces the key of a tenant; some of its callers continue to use the revoked key.
    pub fn replace_key(&mut self, tenant: u16, revoked: u32, key: u32) {
        let tenant = &mut self.tenants[usize::from(tenant)];
        tenant.key = key;
        tenant.old_key = Some(revoked);
    }

    /// Multiplies the rate of all callers by `times`.
    pub fn start_burst(&mut self, times: u32) {
        self.burst *= times;
    }

    /// Ends a burst of this factor.
    pub fn end_burst(&mut self, times: u32) {
        self.burst = (self.burst / times).max(1);
    }

    /// Makes tenant 0 send most requests.
    pub fn start_hot_tenant(&mut self) {
        self.hot_tenant_faults += 1;
    }

    /// Ends one fault that makes tenant 0 send most requests.
    pub fn end_hot_tenant(&mut self) {
        self.hot_tenant_faults = self.hot_tenant_faults.saturating_sub(1);
    }
}

/// Returns whether a caller may send a request again. Without an idempotency key, a request that is not
/// repeatable may only be sent again if the answer says that it did not run.
fn may_resend(end: RequestEnd, repeatability: Repeatability) -> bool {
    match end {
        RequestEnd::Complete => false,
        RequestEnd::Refused { code, run } => {
            let outcome_known = matches!(
                code,
                ResultCode::AlreadyCompleted | ResultCode::AlreadyFailed | ResultCode::KeyUnknown
            );
            !outcome_known && (run == RunState::NotRun || repeatability != Repeatability::Unkeyed)
        }
        RequestEnd::Lost => repeatability != Repeatability::Unkeyed,
    }
}
