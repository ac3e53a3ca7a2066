//! History of accepted orders, so that a resent one is acknowledged again.

use std::collections::BTreeMap;

use millford_api::command::{AcceptedOrder, PutConfig};

/// Number of accepted orders that are retained. At the planned 710 changes a day they cover more
/// than five days.
///
/// An order that is resent after that many later ones is no longer recognized. It is refused as a
/// conflict, because its base is no longer current; it is never accepted a second time.
pub const ORDER_HISTORY_LIMIT: usize = 4096;

/// Result of looking up an order in the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderStatus {
    /// The history does not contain the order.
    New,
    /// The order was accepted before as this revision.
    Repeated { revision: u64 },
    /// The order's id belongs to a different accepted order.
    IdReused,
}

/// Bounded history of accepted orders, by the revision that each order was assigned.
#[derive(Clone, Debug, Default)]
pub(crate) struct OrderHistory {
    by_revision: BTreeMap<u64, AcceptedOrder>,
    revision_by_id: BTreeMap<String, u64>,
    revision_by_base: BTreeMap<u64, u64>,
}

impl OrderHistory {
    /// Looks an order up. An order without an id is the same as the accepted order on its base when
    /// their digests are equal; each base has at most one accepted order.
    pub(crate) fn status(&self, order: &PutConfig) -> OrderStatus {
        if order.order_id.is_empty() {
            return self.status_by_base(order);
        }
        let Some(revision) = self.revision_by_id.get(&order.order_id) else {
            return OrderStatus::New;
        };
        let same = self
            .by_revision
            .get(revision)
            .is_some_and(|known| is_same(known, order));
        if same {
            OrderStatus::Repeated {
                revision: *revision,
            }
        } else {
            OrderStatus::IdReused
        }
    }

    /// Adds an accepted order and drops the oldest ones above [`ORDER_HISTORY_LIMIT`].
    pub(crate) fn add(&mut self, order: AcceptedOrder) {
        if !order.order_id.is_empty() {
            self.revision_by_id
                .insert(order.order_id.clone(), order.revision);
        }
        self.revision_by_base
            .insert(order.base_revision, order.revision);
        self.by_revision.insert(order.revision, order);
        while self.by_revision.len() > ORDER_HISTORY_LIMIT {
            self.drop_oldest();
        }
    }

    /// Returns the retained orders, oldest first.
    pub(crate) fn orders(&self) -> impl Iterator<Item = &AcceptedOrder> {
        self.by_revision.values()
    }

    fn status_by_base(&self, order: &PutConfig) -> OrderStatus {
        let known = self
            .revision_by_base
            .get(&order.base_revision)
            .and_then(|revision| self.by_revision.get(revision));
        match known {
            Some(known) if known.digest == order.digest => OrderStatus::Repeated {
                revision: known.revision,
            },
            _ => OrderStatus::New,
        }
    }

    fn drop_oldest(&mut self) {
        let Some((_, order)) = self.by_revision.pop_first() else {
            return;
        };
        self.revision_by_base.remove(&order.base_revision);
        if self.revision_by_id.get(&order.order_id) == Some(&order.revision) {
            self.revision_by_id.remove(&order.order_id);
        }
    }
}

/// Rebuilds the history from a snapshot's orders, oldest first.
impl FromIterator<AcceptedOrder> for OrderHistory {
    fn from_iter<I: IntoIterator<Item = AcceptedOrder>>(orders: I) -> Self {
        let mut history = Self::default();
        for order in orders {
            history.add(order);
        }
        history
    }
}

fn is_same(known: &AcceptedOrder, order: &PutConfig) -> bool {
    known.base_revision == order.base_revision && known.digest == order.digest
}
