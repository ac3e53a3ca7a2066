//! Identity of a model replica within a pool.

use millford_api::internal::ReplicaLoad;
use millford_api::state::Replica;

/// Identifies a replica: one version of a model on one backend.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaKey {
    /// Id of the backend.
    pub backend: String,
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: String,
}

impl ReplicaKey {
    /// Creates a key from backend id, model and version.
    #[must_use]
    pub fn new(backend: &str, model: &str, version: &str) -> Self {
        Self {
            backend: backend.to_owned(),
            model: model.to_owned(),
            version: version.to_owned(),
        }
    }
}

impl From<&Replica> for ReplicaKey {
    fn from(replica: &Replica) -> Self {
        Self::new(&replica.backend_id, &replica.model, &replica.version)
    }
}

impl From<&ReplicaLoad> for ReplicaKey {
    fn from(load: &ReplicaLoad) -> Self {
        Self::new(&load.backend_id, &load.model, &load.version)
    }
}

impl std::fmt::Display for ReplicaKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{}/{}@{}",
            self.backend, self.model, self.version
        )
    }
}
