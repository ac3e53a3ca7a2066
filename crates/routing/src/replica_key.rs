//! Key of a replica.

/// Identifies a replica: one version of one model on one backend of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey {
    /// Id of the backend. It is the first field so that a backend's replicas are adjacent in an ordered
    /// map.
    pub backend_id: String,
    /// Name of the pool.
    pub pool: String,
    /// Name of the model; empty for a backend that declares none.
    pub model: String,
    /// Version of the model.
    pub version: String,
}
