//! Effects of a configuration change, as a plan lists them.

use serde::{Deserialize, Serialize};

/// All effects of a configuration change. An empty list means that there is no effect of that kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Routes that are added, removed or changed.
    pub routes: Vec<NamedChange>,
    /// Pools that are added, removed or changed.
    pub pools: Vec<NamedChange>,
    /// Tenants that are added, removed or changed.
    pub tenants: Vec<NamedChange>,
    /// Tenant keys that become valid or are revoked.
    pub keys: Vec<KeyMove>,
    /// Request and stream quotas that change.
    pub quotas: Vec<QuotaMove>,
    /// Backends that join or leave a pool.
    pub replicas: Vec<ReplicaMove>,
    /// Sampled shares of sessions whose home moves from one backend to another.
    pub sessions: Vec<SessionMove>,
    /// Changes that are valid but probably not intended.
    pub warnings: Vec<PlanWarning>,
    /// Number of state items that the change sends to the nodes, deletions included.
    pub changed_items: u64,
    /// Encoded size of these items, in bytes.
    pub changed_bytes: u64,
}

/// Kind of change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Only the new configuration has it.
    Added,
    /// Only the configuration in force has it.
    Removed,
    /// Both configurations have it, with different values.
    Changed,
}

/// A route, pool or tenant that changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NamedChange {
    /// Name of the route, pool or tenant.
    pub name: String,
    /// Kind of change.
    pub change: ChangeKind,
    /// Names of the fields that differ; empty unless `change` is [`ChangeKind::Changed`].
    #[serde(default)]
    pub fields: Vec<String>,
}

/// A tenant key that becomes valid or is revoked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyMove {
    /// Name of the tenant.
    pub tenant: String,
    /// First hexadecimal digits of the key's SHA-256.
    pub key_hash_prefix: String,
    /// Added or removed. A key that moves to another tenant is listed once as each.
    pub change: ChangeKind,
}

/// A tenant's quota that changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaMove {
    /// Name of the tenant.
    pub tenant: String,
    /// Quota in force. Absent: the tenant has none or does not exist.
    pub before: Option<crate::config::Quota>,
    /// Quota after the change. Absent: the tenant has none or does not exist.
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
    /// Whether the backend is added to the pool or removed from it.
    pub change: ChangeKind,
}

/// Sampled sessions of one route whose home moves between the same two backends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SessionMove {
    /// Name of the route.
    pub route: String,
    /// Identity of the present home; empty when no backend serves the route.
    pub from: String,
    /// Identity of the new home; empty when no backend will serve the route.
    pub to: String,
    /// Number of sampled sessions that move from `from` to `to`.
    pub moved: u64,
    /// Number of sessions sampled on this route.
    pub sampled: u64,
}

/// A change that is valid but probably not intended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanWarning {
    /// Path of the item concerned, such as `pools/captions`.
    pub path: String,
    /// Human-readable description, one sentence.
    pub message: String,
}
