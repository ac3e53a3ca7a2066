//! Rule CONFIG for operators: what was acknowledged is read back, and no read is older.

use std::collections::BTreeMap;

use super::{Rule, Violation};
use crate::bounds::CONFIG_APPLY;
use crate::history::{History, Order, OrderState};

/// Checks the answers to orders and to reads of the configuration.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = refused(history);
    found.extend(both_acknowledged(history));
    found.extend(old_reads(history));
    found.extend(read_back(history));
    found
}

/// A valid order on top of the newest version must not be refused, unless another order on the same version won.
fn refused(history: &History) -> Vec<Violation> {
    let orders = history.orders.iter();
    let refused = orders.filter_map(|order| match order.state {
        OrderState::Refused(status) if !has_rival(history, order) => {
            let text = format!("version {} was refused with {status}", order.version);
            Some(violation(order, text))
        }
        _ => None,
    });
    refused.collect()
}

fn has_rival(history: &History, order: &Order) -> bool {
    let mut others = history.orders.iter();
    others.any(|other| other.base == order.base && other.version != order.version)
}

/// Of two orders on the same version one wins.
fn both_acknowledged(history: &History) -> Vec<Violation> {
    let mut winners: BTreeMap<u64, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for order in &history.orders {
        if !matches!(order.state, OrderState::Acknowledged(_)) {
            continue;
        }
        if let Some(winner) = winners.insert(order.base, order.version) {
            let text = format!(
                "versions {winner} and {} on version {} were both acknowledged",
                order.version, order.base
            );
            found.push(violation(order, text));
        }
    }
    found
}

fn violation(order: &Order, text: String) -> Violation {
    Violation {
        rule: Rule::Config,
        at: order.sent,
        text,
    }
}

fn old_reads(history: &History) -> Vec<Violation> {
    let mut found = Vec::new();
    for read in &history.reads {
        let acknowledged = history.orders.iter().filter(|order| match order.state {
            OrderState::Acknowledged(at) => at + CONFIG_APPLY < read.sent,
            _ => false,
        });
        let newest = acknowledged.map(|order| order.version).max();
        if read.version < newest {
            let text = format!(
                "a read returned version {:?}, {newest:?} was acknowledged",
                read.version
            );
            found.push(Violation {
                rule: Rule::Config,
                at: read.sent,
                text,
            });
        }
    }
    found
}

/// The configuration must come once the disruptions are over.
fn read_back(history: &History) -> Option<Violation> {
    let comes = history
        .reads
        .iter()
        .any(|read| read.sent > history.calm_since);
    (!comes).then(|| Violation {
        rule: Rule::Config,
        at: history.calm_since,
        text: "the configuration is not read back".to_owned(),
    })
}
