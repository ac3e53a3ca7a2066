//! Which backends belong to a pool.

use millford_api::config::Selector;
use millford_api::state::{Backend, Declaration};

/// Whether a pool's selector takes a backend: one of its declarations must fit. An absent selector
/// takes every backend.
#[must_use]
pub fn selects(selector: Option<&Selector>, backend: &Backend) -> bool {
    let Some(selector) = selector else {
        return true;
    };
    if !selector.service.is_empty() && selector.service != backend.service {
        return false;
    }
    let names_labels = !selector.model.is_empty()
        || !selector.version.is_empty()
        || !selector.stage.is_empty()
        || !selector.adapters.is_empty();
    // A backend that declares nothing, such as a plain lookup server, fits only a selector that
    // names no label.
    if !names_labels {
        return true;
    }
    let mut declarations = backend.declarations.iter();
    declarations.any(|declaration| fits(selector, declaration))
}

fn fits(selector: &Selector, declaration: &Declaration) -> bool {
    let takes = |wanted: &str, declared: &str| wanted.is_empty() || wanted == declared;
    let mut adapters = selector.adapters.iter();
    takes(&selector.model, &declaration.model)
        && takes(&selector.version, &declaration.version)
        && takes(&selector.stage, &declaration.stage)
        && adapters.all(|adapter| declaration.adapters.contains(adapter))
}
