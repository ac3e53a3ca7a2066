//! One winner per base; an order sent again is acknowledged again with its number.

use std::collections::BTreeMap;

use millford_core::MonotonicTime;

use crate::checkers::checker::Checker;
use crate::checkers::guarantee::Guarantee;
use crate::checkers::verdict::Verdict;
use crate::history::{OrderAnswer, OrderNumber, Record};

/// Follows the answers that operators received.
#[derive(Default)]
pub struct OneWinnerChecker {
    winners: BTreeMap<u64, OrderNumber>,
    accepted: BTreeMap<OrderNumber, u64>,
    lost: BTreeMap<OrderNumber, u64>,
}

impl Checker for OneWinnerChecker {
    fn observe(&mut self, at: MonotonicTime, record: &Record, verdict: &mut Verdict) {
        let Record::OrderAnswered {
            order,
            base,
            answer,
        } = record
        else {
            return;
        };
        let fault = match answer {
            OrderAnswer::Accepted { revision, .. } => self.accepted(*order, *base, *revision),
            OrderAnswer::Conflict { present } => self.refused(*order, *present),
            _ => None,
        };
        if let Some(text) = fault {
            verdict.record_violation(at, Guarantee::OneWinner, text);
        }
    }
}

impl OneWinnerChecker {
    fn accepted(&mut self, order: OrderNumber, base: u64, revision: u64) -> Option<String> {
        if revision != base + 1 {
            return Some(format!("{order:?} on base {base} became {revision}"));
        }
        if let Some(present) = self.lost.get(&order) {
            return Some(format!("{order:?} was refused at {present}, then accepted"));
        }
        self.accepted.insert(order, revision);
        let winner = *self.winners.entry(base).or_insert(order);
        if winner != order {
            return Some(format!("{winner:?} and {order:?} both won on base {base}"));
        }
        None
    }

    fn refused(&mut self, order: OrderNumber, present: u64) -> Option<String> {
        if let Some(revision) = self.accepted.get(&order) {
            return Some(format!(
                "{order:?} was accepted as {revision}, then refused"
            ));
        }
        self.lost.insert(order, present);
        None
    }
}
