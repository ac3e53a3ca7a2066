//! Which replica a count belongs to.

/// One version of one model on one backend of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey {
    /// Backend that holds it. First, so that a backend's replicas are neighbours in an ordered map.
    pub backend_id: String,
    /// Pool of the replica.
    pub pool: String,
    /// Model.
    pub model: String,
    /// Version of the model.
    pub version: String,
}
