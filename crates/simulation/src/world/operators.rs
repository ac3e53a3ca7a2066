//! Simulated operators: their orders, pending requests and the latest revision they received.

use std::collections::BTreeMap;

use millford_api::command::PutConfig;
use millford_control::operator::{OperatorReply, OperatorRequest};
use millford_control_state::document::digest;
use millford_core::MonotonicTime;

use crate::history::OrderNumber;
use crate::scenario::{Scenario, Topology, Workload};
use crate::world::operator_document::Draft;

/// A tenant key that an order revokes, with its replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevokedKey {
    /// Tenant that the key belongs to.
    pub tenant: u16,
    /// Serial number of the revoked key.
    pub revoked: u32,
    /// Serial number of the key that replaces it.
    pub replacement: u32,
}

/// An order of an operator.
#[derive(Clone, Debug)]
pub struct Order {
    /// Number of the order, from 1; a resend has the same.
    pub number: OrderNumber,
    /// Revision that the order is based on.
    pub base: u64,
    /// Variable parts of the new configuration document.
    pub draft: Draft,
    /// Keys that the order revokes.
    pub revoked: Vec<RevokedKey>,
    /// Revision that the order created; absent until it is accepted.
    accepted: Option<u64>,
}

/// A request to a control node whose reply has not arrived.
#[derive(Clone, Copy, Debug)]
pub struct PendingReply {
    /// The order that was sent; absent for a read of the configuration.
    pub order: Option<OrderNumber>,
    /// Simulated time of the send.
    pub sent: MonotonicTime,
    /// Number of sends, this one included.
    pub attempts: u32,
}

/// The latest revision that the operators have received.
#[derive(Clone, Debug)]
struct LatestRevision {
    /// Number of the revision; 0 before the first.
    revision: u64,
    /// Variable parts of its configuration document.
    draft: Draft,
}

/// All operators of a run.
pub struct Operators {
    workload: Workload,
    orders: BTreeMap<OrderNumber, Order>,
    /// Requests without a reply, by number.
    pending: BTreeMap<u64, PendingReply>,
    /// Replies in transit, by the number of the request.
    replies: BTreeMap<u64, OperatorReply>,
    latest: LatestRevision,
    /// Number of active faults that lose replies.
    lost_reply_faults: u32,
    /// Number of orders to send, each when the one before it is accepted.
    queued_orders: u32,
    /// Whether the end of the run has begun, in which accepted orders are sent again and no new ones.
    resending: bool,
    last_request: u64,
    next_key: u32,
}

impl Operators {
    /// Creates the operators of a scenario, before their first order.
    #[must_use]
    pub fn new(scenario: &Scenario, topology: Topology) -> Self {
        let tenants = u32::from(topology.tenants);
        let keys = (0..tenants).map(|key| vec![key]).collect();
        Self {
            workload: scenario.workload,
            orders: BTreeMap::new(),
            pending: BTreeMap::new(),
            replies: BTreeMap::new(),
            latest: LatestRevision {
                revision: 0,
                draft: Draft { keys, serial: 0 },
            },
            lost_reply_faults: 0,
            queued_orders: 0,
            resending: false,
            last_request: 0,
            next_key: tenants,
        }
    }

    /// Returns whether the operators have received a revision, the base for further orders.
    #[must_use]
    pub fn has_revision(&self) -> bool {
        self.latest.revision != 0
    }

    /// Returns whether the reply to any order is pending.
    #[must_use]
    pub fn has_pending_order(&self) -> bool {
        self.pending.values().any(|pending| pending.order.is_some())
    }

    /// Creates an order on the latest revision. If `revoked` is a tenant, its keys are replaced by a new one.
    pub fn new_order(&mut self, revoked: Option<u16>) -> OrderNumber {
        let number = OrderNumber(self.orders.len() as u64 + 1);
        let mut draft = self.latest.draft.clone();
        draft.serial = u32::try_from(number.0).unwrap_or(u32::MAX);
        let revoked = match revoked {
            Some(tenant) => self.replace_keys(tenant, &mut draft),
            None => Vec::new(),
        };
        let order = Order {
            number,
            base: self.latest.revision,
            draft,
            revoked,
            accepted: None,
        };
        self.orders.insert(number, order);
        number
    }

    fn replace_keys(&mut self, tenant: u16, draft: &mut Draft) -> Vec<RevokedKey> {
        let replacement = self.next_key;
        self.next_key += 1;
        let keys = &mut draft.keys[usize::from(tenant)];
        let revoked = std::mem::replace(keys, vec![replacement]);
        let revoked = revoked.into_iter().map(|revoked| RevokedKey {
            tenant,
            revoked,
            replacement,
        });
        revoked.collect()
    }

    /// Returns the order with this number.
    #[must_use]
    pub fn order(&self, number: OrderNumber) -> Option<&Order> {
        self.orders.get(&number)
    }

    /// Builds the request for an order, or for a read of the configuration if there is none.
    #[must_use]
    pub fn request_body(&self, order: Option<&Order>) -> OperatorRequest {
        match order {
            Some(order) => OperatorRequest::PutConfig(self.put_config(order)),
            None => OperatorRequest::GetConfig,
        }
    }

    fn put_config(&self, order: &Order) -> PutConfig {
        let document = order.draft.document(&self.workload);
        PutConfig {
            base_revision: order.base,
            order_id: format!("order-{}", order.number.0),
            digest: digest(&document),
            document: Some(document),
            ..Default::default()
        }
    }

    /// Adds a pending request. Returns its number.
    pub fn expect_reply(&mut self, pending: PendingReply) -> u64 {
        self.last_request += 1;
        self.pending.insert(self.last_request, pending);
        self.last_request
    }

    /// Removes a pending request, because it was answered or timed out.
    pub fn take_pending(&mut self, request: u64) -> Option<PendingReply> {
        self.pending.remove(&request)
    }

    /// Stores a reply in transit.
    pub fn send_reply(&mut self, request: u64, reply: OperatorReply) {
        self.replies.insert(request, reply);
    }

    /// Takes a reply that arrived.
    pub fn take_reply(&mut self, request: u64) -> Option<OperatorReply> {
        self.replies.remove(&request)
    }

    /// Marks an order as accepted with a revision. Returns the order if it was not accepted before.
    pub fn accept(&mut self, number: OrderNumber, revision: u64) -> Option<Order> {
        let order = self.orders.get_mut(&number)?;
        if order.accepted.is_some() {
            return None;
        }
        order.accepted = Some(revision);
        let order = order.clone();
        if revision > self.latest.revision {
            self.latest = LatestRevision {
                revision,
                draft: order.draft.clone(),
            };
        }
        Some(order)
    }

    /// Updates the latest revision from a read, so that operators whose order conflicted, or whose reply was
    /// lost, have a current base for the next order.
    pub fn update_latest_revision(&mut self, revision: u64, serial: u32) {
        if revision <= self.latest.revision {
            return;
        }
        if let Some(order) = self.orders.get(&OrderNumber(u64::from(serial))) {
            self.latest = LatestRevision {
                revision,
                draft: order.draft.clone(),
            };
        }
    }

    /// Adds `count` orders to send in sequence, each when the one before is accepted.
    pub fn queue_orders(&mut self, count: u32) {
        self.queued_orders += count;
    }

    /// Takes one queued order. Returns whether one is to be sent.
    pub fn take_queued_order(&mut self) -> bool {
        if self.queued_orders == 0 || self.resending {
            return false;
        }
        self.queued_orders -= 1;
        true
    }

    /// Returns whether accepted orders are being sent again, and no new ones.
    #[must_use]
    pub fn is_resending(&self) -> bool {
        self.resending
    }

    /// Stops new orders. Returns the accepted orders, which are to be sent again.
    pub fn start_resending(&mut self) -> Vec<OrderNumber> {
        self.resending = true;
        let orders = self.orders.values();
        let accepted = orders.filter(|order| order.accepted.is_some());
        accepted.map(|order| order.number).collect()
    }

    /// Returns whether a fault that loses replies is active.
    #[must_use]
    pub fn loses_replies(&self) -> bool {
        self.lost_reply_faults > 0
    }

    /// Begins a fault that loses replies.
    pub fn start_losing_replies(&mut self) {
        self.lost_reply_faults += 1;
    }

    /// Ends one fault that loses replies.
    pub fn stop_losing_replies(&mut self) {
        self.lost_reply_faults = self.lost_reply_faults.saturating_sub(1);
    }
}
