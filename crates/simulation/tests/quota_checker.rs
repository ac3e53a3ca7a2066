//! The checker of quotas against histories of a few calls.

use millford_core::{Duration, MonotonicTime, ResultCode, RunState};
use millford_simulation::checkers::quota::QuotaChecker;
use millford_simulation::checkers::{Checker, Promise, Verdict};
use millford_simulation::history::{
    CallEnd, CallNumber, CallSent, ContentNumber, FrontNumber, Record, Repeatability, ResumeRule,
};

const PER_SECOND: u32 = 20;
const BURST: u32 = 20;

struct Calls {
    checker: QuotaChecker,
    verdict: Verdict,
    now: MonotonicTime,
    last: u64,
}

impl Calls {
    fn new() -> Self {
        let mut calls = Self {
            checker: QuotaChecker::default(),
            verdict: Verdict::default(),
            now: MonotonicTime::from_millis(1000),
            last: 0,
        };
        calls.observe(&Record::Quota {
            tenant: 0,
            per_second: PER_SECOND,
            burst: BURST,
        });
        calls
    }

    fn observe(&mut self, record: &Record) {
        self.checker.observe(self.now, record, &mut self.verdict);
    }

    fn pass(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    fn arrive(&mut self) -> CallNumber {
        self.last += 1;
        let call = CallNumber(self.last);
        self.observe(&Record::CallSent(CallSent {
            call,
            content: ContentNumber(self.last),
            tenant: 0,
            key: 0,
            front: FrontNumber(1),
            repeatability: Repeatability::Repeatable,
            resume: ResumeRule::Never,
            stream: false,
        }));
        self.observe(&Record::CallArrived { call });
        call
    }

    fn refuse(&mut self, call: CallNumber) {
        self.observe(&Record::CallEnded {
            call,
            end: CallEnd::Refused {
                code: ResultCode::QuotaExceeded,
                run: RunState::NotRun,
            },
            revision: None,
        });
    }

    fn is_wronged(&self) -> bool {
        self.verdict.has(Promise::Quota)
    }
}

#[test]
fn a_tenant_with_tokens_left_is_wronged_by_a_refusal() {
    let mut calls = Calls::new();
    for _ in 0..BURST - 4 {
        calls.arrive();
    }
    let call = calls.arrive();
    calls.refuse(call);
    assert!(calls.is_wronged());
}

#[test]
fn a_tenant_that_used_its_last_tokens_is_not_wronged() {
    let mut calls = Calls::new();
    for _ in 0..BURST {
        calls.arrive();
    }
    let call = calls.arrive();
    calls.refuse(call);
    assert!(!calls.is_wronged());
}

/// Just at its rate for longer than a call counts as over the quota: what it used before is still missing.
#[test]
fn a_tenant_that_goes_on_at_its_rate_with_nothing_left_is_not_wronged() {
    let mut calls = Calls::new();
    for _ in 0..BURST {
        calls.arrive();
    }
    for _ in 0..PER_SECOND * 6 {
        calls.pass(1000 / u64::from(PER_SECOND));
        calls.arrive();
    }
    let call = calls.arrive();
    calls.refuse(call);
    assert!(!calls.is_wronged());
}

/// Two tokens less than an exact bucket holds are lent elsewhere at most; with three and more left the refusal is
/// wrong, however the tenant came there.
#[test]
fn a_tenant_that_recovered_is_wronged_by_a_refusal() {
    let mut calls = Calls::new();
    for _ in 0..BURST * 2 {
        calls.arrive();
    }
    calls.pass(6_000);
    for _ in 0..BURST - 4 {
        calls.arrive();
    }
    let call = calls.arrive();
    calls.refuse(call);
    assert!(calls.is_wronged());
}
