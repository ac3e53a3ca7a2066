//! What a change of configuration moves.

use serde::{Deserialize, Serialize};

/// Everything that a change moves; empty lists mean that nothing of the kind does.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Routes that are added, removed or changed.
    pub routes: Vec<NamedChange>,
    /// Pools that are added, removed or changed.
    pub pools: Vec<NamedChange>,
    /// Tenants that are added, removed or changed.
    pub tenants: Vec<NamedChange>,
    /// Keys that become valid or are revoked.
    pub keys: Vec<KeyMove>,
    /// Quotas that change.
    pub quotas: Vec<QuotaMove>,
    /// Backends that join or leave a pool.
    pub replicas: Vec<ReplicaMove>,
    /// Shares of session homes that move from one backend to another.
    pub sessions: Vec<SessionMove>,
    /// What the operator should look at before applying.
    pub warnings: Vec<PlanWarning>,
    /// Items that the change sends to the nodes, deletions included.
    pub changed_items: u64,
    /// Size of these items on the wire, in bytes.
    pub changed_bytes: u64,
}

/// How something changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// It is new.
    Added,
    /// It goes away.
    Removed,
    /// It stays, with other values.
    Changed,
}

/// A route, pool or tenant that changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NamedChange {
    /// Its name.
    pub name: String,
    /// How it changes.
    pub change: ChangeKind,
    /// Fields that change, when it stays.
    #[serde(default)]
    pub fields: Vec<String>,
}

/// A tenant key that becomes valid or is revoked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyMove {
    /// Name of the tenant.
    pub tenant: String,
    /// First digits of the key's hash.
    pub key_hash_prefix: String,
    /// Added or removed; a key that passes to another tenant is both.
    pub change: ChangeKind,
}

/// A quota that changes; an absent side means that there is no such tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaMove {
    /// Name of the tenant.
    pub tenant: String,
    /// Quota in force.
    pub before: Option<crate::config::Quota>,
    /// Quota after the change.
    pub after: Option<crate::config::Quota>,
}

/// A backend that joins or leaves a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaMove {
    /// Name of the pool.
    pub pool: String,
    /// Identity of the backend.
    pub backend_id: String,
    /// Added to the pool or removed from it.
    pub change: ChangeKind,
}

/// Session homes of one route that move between two backends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionMove {
    /// Name of the route.
    pub route: String,
    /// Backend that is the home now; empty when no backend serves the route.
    pub from: String,
    /// Backend that becomes the home; empty when no backend will serve the route.
    pub to: String,
    /// Sessions of the sample that move so.
    pub moved: u64,
    /// Sessions of the sample on this route.
    pub sampled: u64,
}

/// Something that is allowed and yet likely not meant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanWarning {
    /// Path of what it is about, such as `pools/captions`.
    pub path: String,
    /// One sentence for people.
    pub message: String,
}
