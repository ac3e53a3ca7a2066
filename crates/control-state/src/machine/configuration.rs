//! Configuration orders of operators: at most one is accepted on each base revision.
//!
//! The machine does not check the document again, because replicas of two releases might decide
//! differently and so diverge. The node that receives the order checks it before proposing it.

use std::collections::BTreeSet;

use millford_api::command::{AcceptedOrder, PutConfig};
use millford_api::config::Document;
use millford_api::state::{ConfigHead, StateItem, state_value::Kind};
use millford_core::ResultCode;

use super::applied::Applied;
use super::order_history::{OrderHistory, OrderStatus};
use super::public_state::PublicState;
use crate::document;
use crate::keys;

/// Returns the current configuration revision; 0 before the first order.
pub(crate) fn current_revision(state: &PublicState) -> u64 {
    match state.get(keys::CONFIG_HEAD) {
        Some(Kind::ConfigHead(head)) => head.revision,
        _ => 0,
    }
}

/// Accepts a new order, acknowledges a resent one again, or refuses the order.
pub(crate) fn put(
    state: &mut PublicState,
    history: &mut OrderHistory,
    order: &PutConfig,
) -> Applied {
    let current = current_revision(state);
    match history.status(order) {
        OrderStatus::Repeated { revision } => Applied::repeated_order(revision),
        OrderStatus::IdReused => Applied::refused_order(ResultCode::OrderIdReused, current),
        // Safety: replicas apply orders one after the other. Of two orders on the same base, the
        // second one finds a newer revision and is refused.
        OrderStatus::New if order.base_revision != current => {
            Applied::refused_order(ResultCode::RevisionConflict, current)
        }
        // Safety: revisions only grow, so that no node mistakes an older configuration for a newer
        // one.
        OrderStatus::New if order.revision != 0 && order.revision <= current => {
            Applied::refused_order(ResultCode::RevisionNotAbove, current)
        }
        OrderStatus::New if order.revision != 0 => accept(state, history, order, order.revision),
        OrderStatus::New => accept(state, history, order, current + 1),
    }
}

fn accept(
    state: &mut PublicState,
    history: &mut OrderHistory,
    order: &PutConfig,
    revision: u64,
) -> Applied {
    let empty = Document::default();
    let desired = order.document.as_ref().unwrap_or(&empty);
    let changes = replace(state, desired, revision, &order.digest);
    history.add(AcceptedOrder {
        order_id: order.order_id.clone(),
        base_revision: order.base_revision,
        digest: order.digest.clone(),
        revision,
    });
    Applied::accepted_order(revision, changes)
}

/// Replaces the configuration items with those of the desired document. Returns only the items that
/// changed.
fn replace(
    state: &mut PublicState,
    desired: &Document,
    revision: u64,
    digest: &[u8],
) -> Vec<StateItem> {
    let mut items = document::items(desired);
    let head = ConfigHead {
        revision,
        digest: digest.to_vec(),
    };
    items.insert(keys::CONFIG_HEAD.to_owned(), Kind::ConfigHead(head));
    let retained: BTreeSet<&String> = items.keys().collect();
    let mut changes = Vec::new();
    for key in state.keys_under(keys::CONFIG_PREFIX) {
        if !retained.contains(&key) {
            changes.extend(state.delete(&key));
        }
    }
    for (key, kind) in items {
        changes.extend(state.set(key, kind));
    }
    changes.sort_by(|left, right| left.key.cmp(&right.key));
    changes
}
