//! Quotas hold over all nodes together, and nobody under one is refused.

use std::collections::BTreeMap;
use std::time::Duration;

use millford_core::{MonotonicTime, ResultCode};

use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::verdict::Verdict;
use crate::history::{CallEnd, CallNumber, CallSent, Record};

/// Rounding and the drift of the machines' clocks.
const TOLERANCE: f64 = 0.05;

/// A perfect bucket: what one counter for all nodes would hold.
struct Bucket {
    per_second: f64,
    burst: f64,
    level: f64,
    at: MonotonicTime,
    /// Levels after each admission, to see what a waiting call could have had.
    history: BTreeMap<MonotonicTime, f64>,
}

impl Bucket {
    fn level_at(&self, at: MonotonicTime) -> f64 {
        let earned = at.since(self.at).as_secs_f64() * self.per_second;
        (self.level + earned).min(self.burst)
    }

    fn spend(&mut self, at: MonotonicTime) -> f64 {
        self.level = self.level_at(at) - 1.0;
        self.at = at;
        self.history.insert(at, self.level);
        self.level
    }

    fn give_back(&mut self, at: MonotonicTime) {
        self.level = (self.level_at(at) + 1.0).min(self.burst);
        self.at = at;
        self.history.insert(at, self.level);
    }

    // The lowest level between two times; levels only fall at admissions.
    fn lowest(&self, from: MonotonicTime, to: MonotonicTime) -> f64 {
        let within = self.history.range(from..=to).map(|(_, level)| *level);
        let before = self.history.range(..from).next_back();
        let at_start = before.map_or(self.burst, |(at, level)| {
            let earned = from.since(*at).as_secs_f64() * self.per_second;
            (level + earned).min(self.burst)
        });
        within.fold(at_start, f64::min)
    }

    fn forget_before(&mut self, at: MonotonicTime) {
        self.history = self.history.split_off(&at);
    }
}

const MEMORY: Duration = Duration::from_secs(120);

/// Keeps one perfect bucket per tenant.
#[derive(Default)]
pub struct QuotaChecker {
    buckets: BTreeMap<u16, Bucket>,
    calls: BTreeMap<CallNumber, (CallSent, MonotonicTime)>,
}

impl Checker for QuotaChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        match record {
            Record::Quota {
                tenant,
                per_second,
                burst,
            } => self.add(at, *tenant, *per_second, *burst),
            Record::CallSent(sent) => {
                self.calls.insert(sent.call, (*sent, at));
            }
            Record::Admitted { call } => self.admit(at, *call, verdict),
            Record::AdmissionReturned { call } => self.give_back(at, *call),
            Record::CallEnded {
                call,
                end:
                    CallEnd::Refused {
                        code: ResultCode::QuotaExceeded,
                        ..
                    },
                ..
            } => self.check_refusal(at, *call, verdict),
            _ => {}
        }
    }
}

impl QuotaChecker {
    fn add(&mut self, at: MonotonicTime, tenant: u16, per_second: u32, burst: u32) {
        let bucket = Bucket {
            per_second: f64::from(per_second),
            burst: f64::from(burst),
            level: f64::from(burst),
            at,
            history: BTreeMap::new(),
        };
        self.buckets.insert(tenant, bucket);
    }

    fn admit(&mut self, at: MonotonicTime, call: CallNumber, verdict: &mut Verdict) {
        let Some((sent, _)) = self.calls.get(&call) else {
            return;
        };
        let Some(bucket) = self.buckets.get_mut(&sent.tenant) else {
            return;
        };
        let level = bucket.spend(at);
        if level < -TOLERANCE {
            let text = format!("tenant {} is {:.2} over its quota", sent.tenant, -level);
            verdict.broken(at, Promise::Quota, text);
            // Each excess is reported once.
            bucket.level = 0.0;
        }
        let horizon = at.as_micros().saturating_sub(MEMORY.as_micros() as u64);
        bucket.forget_before(MonotonicTime::from_micros(horizon));
    }

    fn give_back(&mut self, at: MonotonicTime, call: CallNumber) {
        let Some((sent, _)) = self.calls.get(&call) else {
            return;
        };
        if let Some(bucket) = self.buckets.get_mut(&sent.tenant) {
            bucket.give_back(at);
        }
    }

    fn check_refusal(&self, at: MonotonicTime, call: CallNumber, verdict: &mut Verdict) {
        let Some((sent, since)) = self.calls.get(&call) else {
            return;
        };
        let Some(bucket) = self.buckets.get(&sent.tenant) else {
            return;
        };
        let lowest = bucket.lowest(*since, at);
        if lowest >= 1.0 + TOLERANCE {
            let text = format!(
                "tenant {} was refused with at least {lowest:.2} left",
                sent.tenant
            );
            verdict.broken(at, Promise::Quota, text);
        }
    }
}
