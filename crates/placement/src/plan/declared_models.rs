//! Models and versions that the active backends of a pool declare.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::config::Selector;
use millford_api::state::{Backend, BackendState, Declaration};

use crate::replica_key::ReplicaKey;
use crate::version::compare_versions;

/// Set of backend ids.
type BackendIds = BTreeSet<String>;

/// Backends that declare a model, by the model's version.
type Versions = BTreeMap<String, BackendIds>;

/// Declarations of a pool's active backends, by model and version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeclaredModels {
    models: BTreeMap<String, Versions>,
}

impl DeclaredModels {
    /// Collects the declarations of the active backends that match the selector.
    #[must_use]
    pub fn new(backends: &BTreeMap<String, Backend>, selector: &Selector) -> Self {
        let mut models: BTreeMap<String, Versions> = BTreeMap::new();
        for backend in backends.values() {
            if backend.state() != BackendState::BackendActive {
                continue;
            }
            for declaration in &backend.declarations {
                if selects(selector, declaration) {
                    let versions = models.entry(declaration.model.clone()).or_default();
                    let backend_ids = versions.entry(declaration.version.clone()).or_default();
                    backend_ids.insert(backend.id.clone());
                }
            }
        }
        Self { models }
    }

    /// Returns the names of the models, sorted.
    pub fn models(&self) -> impl Iterator<Item = &String> {
        self.models.keys()
    }

    /// Whether the replica's backend declares its model and version.
    #[must_use]
    pub fn contains(&self, key: &ReplicaKey) -> bool {
        self.declares(&key.backend, &key.model, &key.version)
    }

    /// Whether a backend declares a version of a model.
    #[must_use]
    pub fn declares(&self, backend: &str, model: &str, version: &str) -> bool {
        let backends = self.version(model, version);
        backends.is_some_and(|backends| backends.contains(backend))
    }

    /// Returns the backends that declare any version of the model.
    #[must_use]
    pub fn backends_of_model(&self, model: &str) -> BTreeSet<&str> {
        let versions = self.models.get(model);
        versions
            .into_iter()
            .flat_map(BTreeMap::values)
            .flatten()
            .map(String::as_str)
            .collect()
    }

    /// Returns the backends that declare this version of the model.
    #[must_use]
    pub fn backends_of_version(&self, model: &str, version: &str) -> BTreeSet<&str> {
        let backends = self.version(model, version);
        backends.into_iter().flatten().map(String::as_str).collect()
    }

    /// Returns the number of models that a backend declares.
    #[must_use]
    pub fn models_on(&self, backend: &str) -> usize {
        let on_backend = |versions: &&Versions| versions.values().any(|ids| ids.contains(backend));
        self.models.values().filter(on_backend).count()
    }

    /// Returns `preferred` if a backend declares it, else the highest declared version of the
    /// model. Returns `None` if no backend declares the model.
    #[must_use]
    pub fn target_version(&self, model: &str, preferred: &str) -> Option<&str> {
        let versions = self.models.get(model)?;
        if let Some((version, _)) = versions.get_key_value(preferred) {
            return Some(version);
        }
        versions
            .keys()
            .max_by(|left, right| compare_versions(left, right))
            .map(String::as_str)
    }

    /// Returns the highest version of the model that this backend declares, if any.
    #[must_use]
    pub fn highest_version_on(&self, model: &str, backend: &str) -> Option<&str> {
        let versions = self.models.get(model)?;
        versions
            .iter()
            .filter(|(_, backend_ids)| backend_ids.contains(backend))
            .map(|(version, _)| version.as_str())
            .max_by(|left, right| compare_versions(left, right))
    }

    fn version(&self, model: &str, version: &str) -> Option<&BackendIds> {
        self.models.get(model)?.get(version)
    }
}

/// Whether a declaration matches a selector. Empty fields of the selector match any value.
#[must_use]
pub fn selects(selector: &Selector, declaration: &Declaration) -> bool {
    let matches = |selected: &str, declared: &str| selected.is_empty() || selected == declared;
    matches(&selector.model, &declaration.model)
        && matches(&selector.version, &declaration.version)
        && matches(&selector.stage, &declaration.stage)
        && selector
            .adapters
            .iter()
            .all(|adapter| declaration.adapters.contains(adapter))
}
