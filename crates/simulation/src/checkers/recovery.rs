//! Checks that service recovers within twelve seconds of the last fault.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::{MonotonicTime, ResultCode};

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::connectivity_table::ConnectivityTable;
use crate::checkers::guarantee::Guarantee;
use crate::history::{
    OrderAnswer, OrderNumber, ProxyNodeNumber, Record, RequestEnd, RequestNumber,
};
use crate::scenario::Figure;

/// Longest time from the end of the last fault until every proxy node serves requests and orders.
const LIMIT: Duration = Duration::from_secs(12);

/// Result codes that no request may be refused with once service has recovered.
const UNAVAILABILITY_CODES: [ResultCode; 8] = [
    ResultCode::NotReady,
    ResultCode::QuotaUnavailable,
    ResultCode::DeadlineBeforeSend,
    ResultCode::NoBackend,
    ResultCode::ConnectFailed,
    ResultCode::ClaimUnavailable,
    ResultCode::ProxyDraining,
    ResultCode::RetryBudgetExhausted,
];

/// A client request that has not ended.
struct OpenRequest {
    proxy_node: ProxyNodeNumber,
    sent: MonotonicTime,
}

/// Checks the service in the periods without an active fault.
#[derive(Default)]
pub struct RecoveryChecker {
    connectivity: ConnectivityTable,
    requests: BTreeMap<RequestNumber, OpenRequest>,
    /// Time at which each order was last sent.
    orders: BTreeMap<OrderNumber, MonotonicTime>,
    /// Start of the present period without an active fault; absent while a fault is active.
    fault_free_since: Option<MonotonicTime>,
    /// Proxy nodes that were sent a client request in this period, with the time of the first.
    requested: BTreeMap<ProxyNodeNumber, MonotonicTime>,
    /// Proxy nodes that completed a client request of this period.
    served: BTreeSet<ProxyNodeNumber>,
    /// Whether the proxy nodes that serve no request were already reported in this period.
    reported: bool,
}

impl Checker for RecoveryChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        self.check_overdue(at, results);
        self.connectivity.observe(at, record);
        self.update_period();
        match record {
            Record::RequestSent(sent) => {
                let open = OpenRequest {
                    proxy_node: sent.proxy_node,
                    sent: at,
                };
                self.requests.insert(sent.client_request, open);
                if self.fault_free_since.is_some() {
                    self.requested.entry(sent.proxy_node).or_insert(at);
                }
            }
            Record::RequestEnded {
                client_request,
                end,
                ..
            } => self.request_ended(at, *client_request, *end, results),
            Record::OrderSent { order, .. } => {
                self.orders.insert(*order, at);
            }
            Record::OrderAnswered { order, answer, .. } => {
                self.order_answered(at, *order, *answer, results);
            }
            _ => {}
        }
    }
}

impl RecoveryChecker {
    /// Resets the state of the period when it changes.
    fn update_period(&mut self) {
        let fault_free_since = self.connectivity.fault_free_since();
        if fault_free_since == self.fault_free_since {
            return;
        }
        self.fault_free_since = fault_free_since;
        self.requested.clear();
        self.served.clear();
        self.reported = false;
    }

    fn check_overdue(&mut self, at: MonotonicTime, results: &mut CheckResults) {
        let Some(fault_free_since) = self.fault_free_since else {
            return;
        };
        if at.since(fault_free_since) <= LIMIT || self.reported {
            return;
        }
        self.reported = true;
        for proxy_node in self.requested.keys() {
            if !self.served.contains(proxy_node) {
                let text =
                    format!("{proxy_node:?} has completed no request 12 s after the last fault");
                results.record_violation(at, Guarantee::Recovery, text);
            }
        }
    }

    fn request_ended(
        &mut self,
        at: MonotonicTime,
        client_request: RequestNumber,
        end: RequestEnd,
        results: &mut CheckResults,
    ) {
        let Some(OpenRequest { proxy_node, sent }) = self.requests.remove(&client_request) else {
            return;
        };
        let Some(fault_free_since) = self.fault_free_since else {
            return;
        };
        match end {
            RequestEnd::Complete if sent >= fault_free_since && self.served.insert(proxy_node) => {
                results
                    .figures
                    .raise_duration(Figure::Recovery, at.since(fault_free_since));
            }
            RequestEnd::Refused { code, .. }
                if sent > fault_free_since + LIMIT && UNAVAILABILITY_CODES.contains(&code) =>
            {
                let text = format!(
                    "{proxy_node:?} refused {client_request:?} without an active fault: {code}"
                );
                results.record_violation(at, Guarantee::Recovery, text);
            }
            _ => {}
        }
    }

    fn order_answered(
        &mut self,
        at: MonotonicTime,
        order: OrderNumber,
        answer: OrderAnswer,
        results: &mut CheckResults,
    ) {
        let Some(sent) = self.orders.get(&order) else {
            return;
        };
        let Some(fault_free_since) = self.fault_free_since else {
            return;
        };
        if answer == OrderAnswer::Undecided && *sent > fault_free_since + LIMIT {
            let text = format!("{order:?} was sent without an active fault but got no decision");
            results.record_violation(at, Guarantee::Recovery, text);
        }
    }
}
