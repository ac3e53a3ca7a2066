//! Tests of the quota checker on histories of a few client requests.

use millford_core::{Duration, MonotonicTime, ResultCode, RunState};
use millford_simulation::checkers::quota::QuotaChecker;
use millford_simulation::checkers::{CheckResults, Checker, Guarantee};
use millford_simulation::history::{
    ContentNumber, ProxyNodeNumber, Record, Repeatability, RequestEnd, RequestNumber, RequestSent,
    ResumeRule,
};

const PER_SECOND: u32 = 20;
const BURST: u32 = 20;

/// History of one tenant, evaluated by the quota checker.
struct QuotaHistory {
    checker: QuotaChecker,
    results: CheckResults,
    now: MonotonicTime,
    last: u64,
}

impl QuotaHistory {
    fn new() -> Self {
        let mut history = Self {
            checker: QuotaChecker::default(),
            results: CheckResults::default(),
            now: MonotonicTime::from_millis(1000),
            last: 0,
        };
        history.observe(&Record::Quota {
            tenant: 0,
            per_second: PER_SECOND,
            burst: BURST,
        });
        history
    }

    fn observe(&mut self, record: &Record) {
        self.checker.observe(self.now, record, &mut self.results);
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    fn arrive(&mut self) -> RequestNumber {
        self.last += 1;
        let client_request = RequestNumber(self.last);
        self.observe(&Record::RequestSent(RequestSent {
            client_request,
            content: ContentNumber(self.last),
            tenant: 0,
            key: 0,
            proxy_node: ProxyNodeNumber(1),
            repeatability: Repeatability::Repeatable,
            resume: ResumeRule::Never,
            stream: false,
        }));
        self.observe(&Record::RequestArrived { client_request });
        client_request
    }

    fn refuse(&mut self, client_request: RequestNumber) {
        self.observe(&Record::RequestEnded {
            client_request,
            end: RequestEnd::Refused {
                code: ResultCode::QuotaExceeded,
                run: RunState::NotRun,
            },
            revision: None,
        });
    }

    fn violates_quota(&self) -> bool {
        self.results.has(Guarantee::Quota)
    }
}

#[test]
fn refusing_a_tenant_with_tokens_left_violates_the_quota_guarantee() {
    let mut history = QuotaHistory::new();
    for _ in 0..BURST - 4 {
        history.arrive();
    }
    let client_request = history.arrive();
    history.refuse(client_request);
    assert!(history.violates_quota(), "{:?}", history.results);
}

#[test]
fn refusing_a_tenant_without_tokens_violates_nothing() {
    let mut history = QuotaHistory::new();
    for _ in 0..BURST {
        history.arrive();
    }
    let client_request = history.arrive();
    history.refuse(client_request);
    assert!(!history.violates_quota(), "{:?}", history.results);
}

/// The tenant spends its burst, then sends at exactly its rate for longer than one refusal counts against
/// it. The bucket stays empty, so the refusal is correct.
#[test]
fn refusing_a_tenant_at_its_rate_without_tokens_violates_nothing() {
    let mut history = QuotaHistory::new();
    for _ in 0..BURST {
        history.arrive();
    }
    for _ in 0..PER_SECOND * 6 {
        history.pass(1000 / u64::from(PER_SECOND));
        history.arrive();
    }
    let client_request = history.arrive();
    history.refuse(client_request);
    assert!(!history.violates_quota(), "{:?}", history.results);
}

/// Leases of other nodes may hold at most two tokens of those in an exact bucket. With three or more left a
/// refusal is wrong, also for a tenant that was over its quota before.
#[test]
fn refusing_a_tenant_whose_tokens_refilled_violates_the_quota_guarantee() {
    let mut history = QuotaHistory::new();
    for _ in 0..BURST * 2 {
        history.arrive();
    }
    history.pass(6_000);
    for _ in 0..BURST - 4 {
        history.arrive();
    }
    let client_request = history.arrive();
    history.refuse(client_request);
    assert!(history.violates_quota(), "{:?}", history.results);
}
