//! Simulated operators: the orders that they sent and what they know of the configuration.

use std::collections::BTreeMap;

use millford_api::command::PutConfig;
use millford_control::operator::{OperatorReply, OperatorRequest};
use millford_control_state::document::digest;
use millford_core::MonotonicTime;

use crate::history::OrderNumber;
use crate::scenario::{Scenario, Topology, Workload};
use crate::world::operator_document::Draft;

/// A tenant key that an order revokes.
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
    /// Its number.
    pub number: OrderNumber,
    /// Revision that it was built on.
    pub base: u64,
    /// What it holds.
    pub draft: Draft,
    /// Keys that it revokes.
    pub revoked: Vec<RevokedKey>,
    /// Revision that it got.
    accepted: Option<u64>,
}

/// A request to a control node whose reply has not arrived.
#[derive(Clone, Copy, Debug)]
pub struct PendingReply {
    /// The order, or a read.
    pub order: Option<OrderNumber>,
    /// When it was sent.
    pub sent: MonotonicTime,
    /// How often it was sent, this time included.
    pub attempts: u32,
}

/// The newest revision that operators know.
#[derive(Clone, Debug)]
struct KnownRevision {
    /// Its number, 0 before the first.
    revision: u64,
    /// What it holds.
    draft: Draft,
}

/// All operators.
pub struct Operators {
    workload: Workload,
    orders: BTreeMap<OrderNumber, Order>,
    /// Requests without a reply, by number.
    pending: BTreeMap<u64, PendingReply>,
    /// Replies that are on their way, by number of the request.
    replies: BTreeMap<u64, OperatorReply>,
    newest: KnownRevision,
    /// Number of active faults that lose replies.
    lost_reply_faults: u32,
    /// Orders still to be sent, each when the one before it is accepted.
    queued_orders: u32,
    /// Whether accepted orders are being sent again, and no new ones.
    resending: bool,
    last_request: u64,
    next_key: u32,
}

impl Operators {
    /// Operators before the first order.
    #[must_use]
    pub fn new(scenario: &Scenario, topology: Topology) -> Self {
        let tenants = u32::from(topology.tenants);
        let keys = (0..tenants).map(|key| vec![key]).collect();
        Self {
            workload: scenario.workload,
            orders: BTreeMap::new(),
            pending: BTreeMap::new(),
            replies: BTreeMap::new(),
            newest: KnownRevision {
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

    /// Whether a revision is known that orders can be built on.
    #[must_use]
    pub fn knows_revision(&self) -> bool {
        self.newest.revision != 0
    }

    /// Whether the reply to an order is awaited.
    #[must_use]
    pub fn awaits_order(&self) -> bool {
        self.pending.values().any(|pending| pending.order.is_some())
    }

    /// A new order on the newest revision; with `revoked`, that tenant gets a new key for its old ones.
    pub fn new_order(&mut self, revoked: Option<u16>) -> OrderNumber {
        let number = OrderNumber(self.orders.len() as u64 + 1);
        let mut draft = self.newest.draft.clone();
        draft.serial = u32::try_from(number.0).unwrap_or(u32::MAX);
        let revoked = match revoked {
            Some(tenant) => self.replace_keys(tenant, &mut draft),
            None => Vec::new(),
        };
        let order = Order {
            number,
            base: self.newest.revision,
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

    /// The order with this number.
    #[must_use]
    pub fn order(&self, number: OrderNumber) -> Option<&Order> {
        self.orders.get(&number)
    }

    /// The body of a request: the order, or a read.
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

    /// Expects the reply to an order or a read. Returns the number of the request.
    pub fn expect_reply(&mut self, pending: PendingReply) -> u64 {
        self.last_request += 1;
        self.pending.insert(self.last_request, pending);
        self.last_request
    }

    /// The request is no longer pending: it was answered or timed out.
    pub fn take_pending(&mut self, request: u64) -> Option<PendingReply> {
        self.pending.remove(&request)
    }

    /// A reply is on its way.
    pub fn send_reply(&mut self, request: u64, reply: OperatorReply) {
        self.replies.insert(request, reply);
    }

    /// The reply that arrived.
    pub fn take_reply(&mut self, request: u64) -> Option<OperatorReply> {
        self.replies.remove(&request)
    }

    /// An order got a revision. Returns the order the first time.
    pub fn accept(&mut self, number: OrderNumber, revision: u64) -> Option<Order> {
        let order = self.orders.get_mut(&number)?;
        if order.accepted.is_some() {
            return None;
        }
        order.accepted = Some(revision);
        let order = order.clone();
        if revision > self.newest.revision {
            self.newest = KnownRevision {
                revision,
                draft: order.draft.clone(),
            };
        }
        Some(order)
    }

    /// A read showed a revision. Operators that lost a race, or a reply, build on what they read.
    pub fn learn_revision(&mut self, revision: u64, serial: u32) {
        if revision <= self.newest.revision {
            return;
        }
        if let Some(order) = self.orders.get(&OrderNumber(u64::from(serial))) {
            self.newest = KnownRevision {
                revision,
                draft: order.draft.clone(),
            };
        }
    }

    /// Adds orders that are sent one after the other as they are accepted.
    pub fn queue_orders(&mut self, count: u32) {
        self.queued_orders += count;
    }

    /// Takes one queued order. Returns whether there was one to send.
    pub fn take_queued_order(&mut self) -> bool {
        if self.queued_orders == 0 || self.resending {
            return false;
        }
        self.queued_orders -= 1;
        true
    }

    /// Whether accepted orders are being sent again, and no new ones.
    #[must_use]
    pub fn is_resending(&self) -> bool {
        self.resending
    }

    /// From now on accepted orders are sent again, and no new ones. Returns the accepted orders.
    pub fn start_resending(&mut self) -> Vec<OrderNumber> {
        self.resending = true;
        let orders = self.orders.values();
        let accepted = orders.filter(|order| order.accepted.is_some());
        accepted.map(|order| order.number).collect()
    }

    /// Whether a fault that loses replies is active.
    #[must_use]
    pub fn loses_replies(&self) -> bool {
        self.lost_reply_faults > 0
    }

    /// Replies may be lost from now on.
    pub fn start_losing_replies(&mut self) {
        self.lost_reply_faults += 1;
    }

    /// Ends one fault that loses replies.
    pub fn stop_losing_replies(&mut self) {
        self.lost_reply_faults = self.lost_reply_faults.saturating_sub(1);
    }
}
