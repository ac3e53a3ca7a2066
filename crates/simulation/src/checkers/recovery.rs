//! Service is back within twelve seconds after the machines are.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::{MonotonicTime, ResultCode};

use crate::checkers::checker::Checker;
use crate::checkers::connectivity_table::ConnectivityTable;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::verdict::Verdict;
use crate::history::{
    OrderAnswer, OrderNumber, ProxyNodeNumber, Record, RequestEnd, RequestNumber,
};
use crate::scenario::Figure;

/// Time from the end of the last fault until every proxy node serves.
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

/// A client request without an end.
struct OpenRequest {
    proxy_node: ProxyNodeNumber,
    sent: MonotonicTime,
}

/// Watches the calm times between faults.
#[derive(Default)]
pub struct RecoveryChecker {
    connectivity: ConnectivityTable,
    requests: BTreeMap<RequestNumber, OpenRequest>,
    /// When each order was sent last.
    orders: BTreeMap<OrderNumber, MonotonicTime>,
    /// Since when no fault is active.
    calm: Option<MonotonicTime>,
    /// Proxy nodes that got a client request in this calm time.
    requested: BTreeMap<ProxyNodeNumber, MonotonicTime>,
    /// Proxy nodes that served in this calm time.
    served: BTreeSet<ProxyNodeNumber>,
    /// Whether this calm time was checked.
    reported: bool,
}

impl Checker for RecoveryChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.check_overdue(at, verdict);
        self.connectivity.observe(at, record);
        self.follow_calm();
        match record {
            Record::RequestSent(sent) => {
                let open = OpenRequest {
                    proxy_node: sent.proxy_node,
                    sent: at,
                };
                self.requests.insert(sent.client_request, open);
                if self.calm.is_some() {
                    self.requested.entry(sent.proxy_node).or_insert(at);
                }
            }
            Record::RequestEnded {
                client_request,
                end,
                ..
            } => self.request_ended(at, *client_request, *end, verdict),
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
        let calm = self.connectivity.calm_since();
        if calm == self.calm {
            return;
        }
        self.calm = calm;
        self.requested.clear();
        self.served.clear();
        self.reported = false;
    }

    fn check_overdue(&mut self, at: MonotonicTime, verdict: &mut Verdict) {
        let Some(calm) = self.calm else { return };
        if at.since(calm) <= LIMIT || self.reported {
            return;
        }
        self.reported = true;
        for proxy_node in self.requested.keys() {
            if !self.served.contains(proxy_node) {
                let text = format!("{proxy_node:?} has not served 12 s after the last fault");
                verdict.record_violation(at, Guarantee::Recovery, text);
            }
        }
    }

    fn request_ended(
        &mut self,
        at: MonotonicTime,
        client_request: RequestNumber,
        end: RequestEnd,
        verdict: &mut Verdict,
    ) {
        let Some(OpenRequest { proxy_node, sent }) = self.requests.remove(&client_request) else {
            return;
        };
        let Some(calm) = self.calm else { return };
        match end {
            RequestEnd::Complete if sent >= calm && self.served.insert(proxy_node) => {
                verdict
                    .figures
                    .raise_duration(Figure::Recovery, at.since(calm));
            }
            RequestEnd::Refused { code, .. } if sent > calm + LIMIT && UNSERVED.contains(&code) => {
                let text = format!("{proxy_node:?} refused {client_request:?} in calm: {code}");
                verdict.record_violation(at, Guarantee::Recovery, text);
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
            verdict.record_violation(at, Guarantee::Recovery, text);
        }
    }
}
