//! Checks that at most one order is accepted per base revision, and that an order that is sent again gets
//! the same answer.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::check_results::CheckResults;
use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::history::{OrderAnswer, OrderNumber, Record};

/// Compares the answers that operators received.
#[derive(Default)]
pub struct OneWinnerChecker {
    /// Accepted order, by base revision.
    winners: BTreeMap<u64, OrderNumber>,
    /// Revision of each accepted order.
    accepted: BTreeMap<OrderNumber, u64>,
    /// Orders refused for a conflict, with the revision that was current.
    lost: BTreeMap<OrderNumber, u64>,
}

impl Checker for OneWinnerChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, results: &mut CheckResults) {
        let Record::OrderAnswered {
            order,
            base,
            answer,
        } = record
        else {
            return;
        };
        let violation = match answer {
            OrderAnswer::Accepted { revision, .. } => self.accepted(*order, *base, *revision),
            OrderAnswer::Conflict { present } => self.refused(*order, *present),
            _ => None,
        };
        if let Some(text) = violation {
            results.record_violation(at, Guarantee::OneWinner, text);
        }
    }
}

impl OneWinnerChecker {
    fn accepted(&mut self, order: OrderNumber, base: u64, revision: u64) -> Option<String> {
        if revision != base + 1 {
            return Some(format!(
                "{order:?} on base {base} was accepted as revision {revision}"
            ));
        }
        if let Some(present) = self.lost.get(&order) {
            return Some(format!(
                "{order:?} was refused at revision {present}, then accepted"
            ));
        }
        self.accepted.insert(order, revision);
        let winner = *self.winners.entry(base).or_insert(order);
        if winner != order {
            return Some(format!(
                "{winner:?} and {order:?} were both accepted on base {base}"
            ));
        }
        None
    }

    fn refused(&mut self, order: OrderNumber, present: u64) -> Option<String> {
        if let Some(revision) = self.accepted.get(&order) {
            return Some(format!(
                "{order:?} was accepted as revision {revision}, then refused"
            ));
        }
        self.lost.insert(order, present);
        None
    }
}
