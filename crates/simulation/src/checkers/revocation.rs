//! A revoked key stops working within two seconds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::connectivity_table::ConnectivityTable;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::verdict::Verdict;
use crate::history::{Record, RequestNumber, RequestSent};
use crate::scenario::Figure;

/// Time from a revocation to the last use of the key.
const LIMIT: Duration = Duration::from_secs(2);

/// Follows client requests with revoked keys.
#[derive(Default)]
pub struct RevocationChecker {
    connectivity: ConnectivityTable,
    /// Time of the revocation of each key.
    revoked: BTreeMap<u32, MonotonicTime>,
    /// Time from the revocation to the sending, for client requests with a revoked key.
    age: BTreeMap<RequestNumber, Duration>,
    reported: BTreeSet<RequestNumber>,
}

impl Checker for RevocationChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        self.connectivity.observe(at, record);
        match record {
            Record::KeyRevoked { key, .. } => {
                self.revoked.entry(*key).or_insert(at);
            }
            Record::RequestSent(sent) => self.record_sent(at, sent),
            Record::Admitted { client_request } | Record::Dispatched { client_request, .. } => {
                self.check(at, *client_request, verdict);
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

    fn check(&mut self, at: MonotonicTime, client_request: RequestNumber, verdict: &mut Verdict) {
        let Some(age) = self.age.get(&client_request) else {
            return;
        };
        let millis = verdict.figures.raise_duration(Figure::Revocation, *age);
        if *age > LIMIT && self.reported.insert(client_request) {
            let text =
                format!("{client_request:?} was served {millis} ms after its key was revoked");
            verdict.record_violation(at, Guarantee::Revocation, text);
        }
    }
}
