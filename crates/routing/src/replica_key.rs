//! Which replica a count belongs to.

/// One version of one model on one backend of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey {
    /// Pool of the replica.
    pub pool: String,
    /// Backend that holds it.
    pub backend_id: String,
    /// Model.
    pub model: String,
    /// Version of the model.
    pub version: String,
}
