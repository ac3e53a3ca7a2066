//! Documents and commands that the tests share.
#![allow(dead_code)]

use millford_api::command::{Command, PutConfig, command::Kind};
use millford_api::config::{Document, Pool, Quota, Route, RouteMatch, Selector, Tenant};
use millford_api::state::{Backend, Declaration};
use millford_control_state::{Applied, ShardMachine, document};
use millford_core::{ShardId, hash_tenant_key};

/// A shard's machine with the commands' indexes counted.
pub struct Machine {
    pub machine: ShardMachine,
    pub index: u64,
}

impl Machine {
    pub fn new(shard: ShardId) -> Self {
        Self {
            machine: ShardMachine::new(shard),
            index: 0,
        }
    }

    /// Applies the command at the next index.
    pub fn apply(&mut self, command: &Command) -> Applied {
        self.index += 1;
        self.machine.apply(self.index, 1, command)
    }

    pub fn apply_kind(&mut self, kind: Kind) -> Applied {
        self.apply(&command(kind))
    }
}

/// A command of this kind.
pub fn command(kind: Kind) -> Command {
    Command { kind: Some(kind) }
}

/// A route to the pool of the same model.
pub fn route(name: &str, model: &str) -> Route {
    Route {
        name: name.to_owned(),
        r#match: Some(RouteMatch {
            model: model.to_owned(),
            ..RouteMatch::default()
        }),
        pool: format!("pool-{model}"),
        repeatable: true,
        deadline_ms: 30_000,
        ..Route::default()
    }
}

/// The pool of a model.
pub fn pool(model: &str) -> Pool {
    Pool {
        name: format!("pool-{model}"),
        selector: Some(Selector {
            model: model.to_owned(),
            ..Selector::default()
        }),
        drain_ms: 2_000,
        ..Pool::default()
    }
}

/// A tenant with one key.
pub fn tenant(name: &str) -> Tenant {
    Tenant {
        name: name.to_owned(),
        key_hashes: vec![hash_tenant_key(&format!("key of {name}"))],
        quota: Some(quota(10, 20, 4)),
        ..Default::default()
    }
}

/// A quota.
pub fn quota(requests_per_second: u32, burst: u32, concurrent_streams: u32) -> Quota {
    Quota {
        requests_per_second,
        burst,
        concurrent_streams,
    }
}

/// A sound document: two routes, two pools, two tenants.
pub fn sound_document() -> Document {
    Document {
        routes: vec![route("captions", "saga"), route("questions", "edda")],
        pools: vec![pool("saga"), pool("edda")],
        tenants: vec![tenant("library"), tenant("school")],
        ..Default::default()
    }
}

/// An order for this document.
pub fn order(base_revision: u64, order_id: &str, wanted: &Document) -> Command {
    command(Kind::PutConfig(PutConfig {
        base_revision,
        order_id: order_id.to_owned(),
        digest: document::digest(wanted),
        document: Some(wanted.clone()),
        ..Default::default()
    }))
}

/// A backend that declares one model.
pub fn backend(id: &str, model: &str) -> Backend {
    Backend {
        id: id.to_owned(),
        address: "127.0.0.1:9000".to_owned(),
        zone: "a".to_owned(),
        declarations: vec![Declaration {
            model: model.to_owned(),
            version: "1".to_owned(),
            ..Declaration::default()
        }],
        cores: 8,
        bandwidth_gbps: 100.0,
        state: 0,
        ..Default::default()
    }
}
