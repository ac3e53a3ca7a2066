//! Test fixtures: one agent, its proxy and several control nodes under simulated time.
#![allow(dead_code, reason = "each test file uses only a part")]

mod fake_control_node;
mod fleet;

pub(crate) use fake_control_node::{FakeControlNode, SharedShards};
pub(crate) use fleet::Fleet;

use millford_api::config::{Quota, Tenant};
use millford_api::state::{Backend, ConfigHead, StateItem, StateValue, state_value};

/// Number of data shards of the simulated cluster.
pub(crate) const DATA_SHARDS: u32 = 2;

pub(crate) fn item(key: &str, kind: state_value::Kind) -> StateItem {
    let value = StateValue { kind: Some(kind) };
    StateItem {
        key: key.to_owned(),
        value: Some(value),
    }
}

pub(crate) fn head(revision: u64) -> StateItem {
    let head = ConfigHead {
        revision,
        digest: vec![1],
    };
    item("config/head", state_value::Kind::ConfigHead(head))
}

pub(crate) fn backend(pool: &str, id: &str) -> StateItem {
    let backend = Backend {
        id: id.to_owned(),
        ..Backend::default()
    };
    let key = format!("backend/{pool}/{id}");
    item(&key, state_value::Kind::Backend(backend))
}

pub(crate) fn tenant(name: &str, quota: Quota) -> StateItem {
    let tenant = Tenant {
        name: name.to_owned(),
        key_hashes: Vec::new(),
        quota: Some(quota),
        ..Default::default()
    };
    item(
        &format!("config/tenant/{name}"),
        state_value::Kind::Tenant(tenant),
    )
}
