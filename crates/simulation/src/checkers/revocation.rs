//! Checks that a revoked key is no longer accepted after two seconds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::connectivity_table::ConnectivityTable;
use crate::checkers::guarantee::Guarantee;
use crate::history::{Record, RequestNumber, RequestSent};
use crate::scenario::Figure;

/// Longest time from a revocation to the last request that the key is accepted for.
const LIMIT: Duration = Duration::from_secs(2);

/// Checks each client request that carries a revoked key.
#[derive(Default)]
pub struct RevocationChecker {
    connectivity: ConnectivityTable,
    /// Time of revocation, by key.
    revoked: BTreeMap<u32, MonotonicTime>,
    /// For client requests with a revoked key: time from the revocation, or from the reconnection of the
    /// proxy node if that is later, to the send.
    age: BTreeMap<RequestNumber, Duration>,
    reported: BTreeSet<RequestNumber>,
}

impl Checker for RevocationChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        self.connectivity.observe(at, record);
        match record {
            Record::KeyRevoked { key, .. } => {
                self.revoked.entry(*key).or_insert(at);
            }
            Record::RequestSent(sent) => self.record_sent(at, sent),
            Record::Admitted { client_request } | Record::Dispatched { client_request, .. } => {
                self.check(at, *client_request, results);
            }
            _ => {}
        }
    }
}

impl RevocationChecker {
    fn record_sent(&mut self, at: MonotonicTime, sent: &RequestSent) {
        let Some(revoked) = self.revoked.get(&sent.key) else {
            return;
        };
        let Some(connected) = self.connectivity.connected_since(sent.proxy_node) else {
            return;
        };
        let since = connected.max(*revoked);
        self.age.insert(sent.client_request, at.since(since));
    }

    fn check(
        &mut self,
        at: MonotonicTime,
        client_request: RequestNumber,
        results: &mut CheckResults,
    ) {
        let Some(age) = self.age.get(&client_request) else {
            return;
        };
        let millis = results.figures.raise_duration(Figure::Revocation, *age);
        if *age > LIMIT && self.reported.insert(client_request) {
            let text =
                format!("{client_request:?} was accepted {millis} ms after its key was revoked");
            results.record_violation(at, Guarantee::Revocation, text);
        }
    }
}
