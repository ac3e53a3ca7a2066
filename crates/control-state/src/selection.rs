//! Selection of a pool's backends.

use millford_api::config::Selector;
use millford_api::state::{Backend, Declaration};

/// Whether a pool's selector selects a backend. One of the backend's declarations must match all
/// labels of the selector. An absent selector selects every backend.
#[must_use]
pub fn selects(selector: Option<&Selector>, backend: &Backend) -> bool {
    let Some(selector) = selector else {
        return true;
    };
    if !selector.service.is_empty() && selector.service != backend.service {
        return false;
    }
    let has_labels = !selector.model.is_empty()
        || !selector.version.is_empty()
        || !selector.stage.is_empty()
        || !selector.adapters.is_empty();
    // A backend without declarations, such as a lookup server, is selected only by a selector
    // without labels.
    if !has_labels {
        return true;
    }
    let mut declarations = backend.declarations.iter();
    declarations.any(|declaration| matches(selector, declaration))
}

fn matches(selector: &Selector, declaration: &Declaration) -> bool {
    let accepts = |selected: &str, declared: &str| selected.is_empty() || selected == declared;
    let mut adapters = selector.adapters.iter();
    accepts(&selector.model, &declaration.model)
        && accepts(&selector.version, &declaration.version)
        && accepts(&selector.stage, &declaration.stage)
        && adapters.all(|adapter| declaration.adapters.contains(adapter))
}
