//! Service is back within twelve seconds after the machines are.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::{MonotonicTime, ResultCode};

use crate::checkers::checker::Checker;
use crate::checkers::promise::Promise;
use crate::checkers::touch_table::TouchTable;
use crate::checkers::verdict::Verdict;
use crate::history::{CallEnd, CallNumber, FrontNumber, OrderAnswer, OrderNumber, Record};
use crate::scenario::Figure;

const LIMIT: Duration = Duration::from_secs(12);

/// Refusals that no machine's fault explains once service is back.
const UNSERVED: [ResultCode; 8] = [
    ResultCode::NotReady,
    ResultCode::QuotaUnavailable,
    ResultCode::DeadlineBeforeSend,
    ResultCode::NoBackend,
    ResultCode::ConnectFailed,
    ResultCode::ClaimUnavailable,
    ResultCode::ProxyDraining,
    ResultCode::RetryBudgetExhausted,
];

/// Watches the calm times between faults.
#[derive(Default)]
pub struct RecoveryChecker {
    touch: TouchTable,
    calls: BTreeMap<CallNumber, (FrontNumber, MonotonicTime)>,
    orders: BTreeMap<OrderNumber, MonotonicTime>,
    calm: Option<MonotonicTime>,
    /// Front machines that were called in this calm time.
    called: BTreeMap<FrontNumber, MonotonicTime>,
    served: BTreeSet<FrontNumber>,
    reported: bool,
}

impl Checker for RecoveryChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.check_overdue(at, verdict);
        self.touch.observe(at, record);
        self.follow_calm();
        match record {
            Record::CallSent(sent) => {
                self.calls.insert(sent.call, (sent.front, at));
                if self.calm.is_some() {
                    self.called.entry(sent.front).or_insert(at);
                }
            }
            Record::CallEnded { call, end, .. } => self.call_ended(at, *call, *end, verdict),
            Record::OrderSent { order, .. } => {
                self.orders.insert(*order, at);
            }
            Record::OrderAnswered { order, answer, .. } => {
                self.order_answered(at, *order, *answer, verdict);
            }
            _ => {}
        }
    }
}

impl RecoveryChecker {
    fn follow_calm(&mut self) {
        let calm = self.touch.calm_since();
        if calm == self.calm {
            return;
        }
        self.calm = calm;
        self.called.clear();
        self.served.clear();
        self.reported = false;
    }

    fn check_overdue(&mut self, at: MonotonicTime, verdict: &mut Verdict) {
        let Some(calm) = self.calm else { return };
        if at.since(calm) <= LIMIT || self.reported {
            return;
        }
        self.reported = true;
        for front in self.called.keys() {
            if !self.served.contains(front) {
                let text = format!("{front:?} has not served 12 s after the last fault");
                verdict.broken(at, Promise::Recovery, text);
            }
        }
    }

    fn call_ended(
        &mut self,
        at: MonotonicTime,
        call: CallNumber,
        end: CallEnd,
        verdict: &mut Verdict,
    ) {
        let Some((front, sent)) = self.calls.remove(&call) else {
            return;
        };
        let Some(calm) = self.calm else { return };
        match end {
            CallEnd::Complete if sent >= calm && self.served.insert(front) => {
                let millis = u64::try_from(at.since(calm).as_millis()).unwrap_or(u64::MAX);
                verdict.figures.raise(Figure::Recovery, millis);
            }
            CallEnd::Refused { code, .. } if sent > calm + LIMIT && UNSERVED.contains(&code) => {
                let text = format!("{front:?} refused {call:?} in calm: {code}");
                verdict.broken(at, Promise::Recovery, text);
            }
            _ => {}
        }
    }

    fn order_answered(
        &mut self,
        at: MonotonicTime,
        order: OrderNumber,
        answer: OrderAnswer,
        verdict: &mut Verdict,
    ) {
        let Some(sent) = self.orders.get(&order) else {
            return;
        };
        let Some(calm) = self.calm else { return };
        if answer == OrderAnswer::Undecided && *sent > calm + LIMIT {
            let text = format!("{order:?} sent in calm was not decided");
            verdict.broken(at, Promise::Recovery, text);
        }
    }
}
