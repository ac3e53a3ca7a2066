//! Simulated operators: the documents that they build and the orders under way.

use std::collections::BTreeMap;

use millford_api::command::PutConfig;
use millford_api::config::{
    Document, Hedge, Pool, Quota, Resume, Route, RouteMatch, Selector, Tenant,
};
use millford_control::operator::OperatorReply;
use millford_control_state::document::digest;
use millford_core::{MonotonicTime, hash_tenant_key};

use crate::history::OrderNumber;
use crate::scenario::{Scenario, Topology, Workload};
use crate::world::callers::key_text;
use crate::world::registry::MODELS;

const MARKED_ROUTE: &str = "captions";
const DEADLINE_MS: u32 = 20_000;
const HEDGE_MS: u32 = 600;
const DRAIN_MS: u32 = 2_000;

/// What a document holds that orders change: the keys of each tenant, and a serial number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// Serial numbers of the keys, by tenant.
    pub keys: Vec<Vec<u32>>,
    /// Number that tells this document from all others.
    pub mark: u32,
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
    /// Keys that it revokes, with the tenant and the key that comes instead.
    pub revoked: Vec<(u16, u32, u32)>,
    /// Revision that it got.
    pub accepted: Option<u64>,
}

/// A request to a control node that is under way.
#[derive(Clone, Copy, Debug)]
pub struct PendingReply {
    /// The order, or a read.
    pub order: Option<OrderNumber>,
    /// When it was sent.
    pub sent: MonotonicTime,
    /// How often it was tried.
    pub attempts: u32,
}

/// All operators.
pub struct Operators {
    topology: Topology,
    workload: Workload,
    /// Orders by number.
    pub orders: BTreeMap<OrderNumber, Order>,
    /// Requests under way.
    pub pending_replies: BTreeMap<u64, PendingReply>,
    /// Answers that are on their way.
    answers: BTreeMap<u64, OperatorReply>,
    /// The newest revision that operators know, and what it holds.
    pub newest_known: (u64, Draft),
    /// Number of faults that lose answers.
    pub lost_reply_faults: u32,
    /// Orders still to be sent without a pause.
    pub queued_orders: u32,
    /// Whether accepted orders are being sent again.
    pub resending_accepted: bool,
    next_request: u64,
    next_key: u32,
}

impl Operators {
    /// Operators before the first order.
    #[must_use]
    pub fn new(scenario: &Scenario, topology: Topology) -> Self {
        let tenants = u32::from(topology.tenants);
        let keys = (0..tenants).map(|key| vec![key]).collect();
        Self {
            topology,
            workload: scenario.workload,
            orders: BTreeMap::new(),
            pending_replies: BTreeMap::new(),
            answers: BTreeMap::new(),
            newest_known: (0, Draft { keys, mark: 0 }),
            lost_reply_faults: 0,
            queued_orders: 0,
            resending_accepted: false,
            next_request: 0,
            next_key: tenants,
        }
    }

    /// Number of a new request.
    pub fn next_request(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    /// A new order on a base; with `revoked`, the tenant gets a new key for its old ones.
    pub fn new_order(&mut self, base: u64, draft: &Draft, revoked: Option<u16>) -> OrderNumber {
        let number = OrderNumber(self.orders.len() as u64 + 1);
        let mut draft = draft.clone();
        draft.mark = u32::try_from(number.0).unwrap_or(u32::MAX);
        let mut removed = Vec::new();
        if let Some(tenant) = revoked {
            let new_key = self.next_key;
            self.next_key += 1;
            let keys = &mut draft.keys[usize::from(tenant)];
            for old in std::mem::replace(keys, vec![new_key]) {
                removed.push((tenant, old, new_key));
            }
        }
        let order = Order {
            number,
            base,
            draft,
            revoked: removed,
            accepted: None,
        };
        self.orders.insert(number, order);
        number
    }

    /// The request for an order.
    #[must_use]
    pub fn put_config(&self, order: &Order) -> PutConfig {
        let document = self.document(&order.draft);
        PutConfig {
            base_revision: order.base,
            order_id: format!("order-{}", order.number.0),
            digest: digest(&document),
            document: Some(document),
            ..Default::default()
        }
    }

    /// Keeps an answer until it arrives.
    pub fn keep_answer(&mut self, request: u64, reply: OperatorReply) {
        self.answers.insert(request, reply);
    }

    /// The answer that arrived.
    pub fn take_answer(&mut self, request: u64) -> Option<OperatorReply> {
        self.answers.remove(&request)
    }

    fn document(&self, draft: &Draft) -> Document {
        let lookup_match = RouteMatch {
            path_prefix: "/stations/".to_owned(),
            ..RouteMatch::default()
        };
        let mut captions = model_route(MARKED_ROUTE, MODELS[0], true, Resume::Continue);
        captions.deadline_ms = DEADLINE_MS + draft.mark;
        let mut questions = model_route("questions", MODELS[1], true, Resume::FromStart);
        questions.hedge = Some(Hedge { delay_ms: HEDGE_MS });
        let lookups = Route {
            name: "stations".to_owned(),
            r#match: Some(lookup_match),
            pool: "lookups".to_owned(),
            repeatable: true,
            deadline_ms: DEADLINE_MS,
            ..Route::default()
        };
        let once = model_route("once", MODELS[2], false, Resume::Never);
        Document {
            routes: vec![captions, questions, once, lookups],
            pools: vec![pool("models", "generate"), pool("lookups", "lookup")],
            tenants: self.tenants(draft),
            ..Default::default()
        }
    }

    fn tenants(&self, draft: &Draft) -> Vec<Tenant> {
        let quota = Quota {
            requests_per_second: self.workload.quota_per_second,
            burst: self.workload.quota_burst,
            concurrent_streams: 0,
        };
        let tenants = draft.keys.iter().enumerate().map(|(tenant, keys)| Tenant {
            name: format!("tenant-{tenant}"),
            key_hashes: keys
                .iter()
                .map(|key| hash_tenant_key(&key_text(*key)))
                .collect(),
            quota: Some(quota),
            ..Default::default()
        });
        tenants.take(usize::from(self.topology.tenants)).collect()
    }
}

/// The serial number of a document that was read back.
#[must_use]
pub fn mark_of_document(document: &Document) -> u32 {
    let marked = document
        .routes
        .iter()
        .find(|route| route.name == MARKED_ROUTE);
    marked.map_or(0, |route| route.deadline_ms.saturating_sub(DEADLINE_MS))
}

fn model_route(name: &str, model: &str, repeatable: bool, resume: Resume) -> Route {
    Route {
        name: name.to_owned(),
        r#match: Some(RouteMatch {
            model: model.to_owned(),
            ..RouteMatch::default()
        }),
        pool: "models".to_owned(),
        repeatable,
        resume: resume.into(),
        deadline_ms: DEADLINE_MS,
        hedge: None,
    }
}

fn pool(name: &str, stage: &str) -> Pool {
    Pool {
        name: name.to_owned(),
        selector: Some(Selector {
            stage: stage.to_owned(),
            ..Selector::default()
        }),
        drain_ms: DRAIN_MS,
        ..Pool::default()
    }
}
