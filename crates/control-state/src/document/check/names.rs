//! Checks of names and labels.

use std::collections::BTreeMap;

use super::super::limits;
use super::fault_list::FaultList;

/// Names of the entries of one kind, each with the path at which it was found first.
#[derive(Debug, Default)]
pub(super) struct UniqueNames<'document> {
    path_by_name: BTreeMap<&'document str, String>,
}

impl<'document> UniqueNames<'document> {
    /// Checks that the name at `path` is well formed and differs from all names checked before.
    pub(super) fn check(&mut self, path: String, name: &'document str, faults: &mut FaultList) {
        if name.is_empty() {
            faults.add(path, "the name is empty");
            return;
        }
        if let Some(first) = self.path_by_name.get(name) {
            faults.add(
                path,
                format!("the name \"{name}\" is already used at {first}"),
            );
            return;
        }
        self.path_by_name.insert(name, path.clone());
        if name.len() > limits::MAX_NAME_LENGTH {
            let text = format!(
                "the name is longer than {} characters",
                limits::MAX_NAME_LENGTH
            );
            faults.add(path, text);
        } else if !is_name(name) {
            faults.add(
                path,
                "only letters, digits, '.', '_' and '-' are allowed, and the first character must \
                 be a letter or digit",
            );
        }
    }
}

/// Checks a model, version, stage or adapter. An empty one is accepted; the caller checks it where
/// it is not allowed.
pub(super) fn check_label(path: String, label: &str, faults: &mut FaultList) {
    if label.len() > limits::MAX_LABEL_LENGTH {
        let text = format!(
            "the value is longer than {} bytes",
            limits::MAX_LABEL_LENGTH
        );
        faults.add(path, text);
    } else if !label.bytes().all(|byte| byte.is_ascii_graphic()) {
        faults.add(path, "only visible ASCII characters are allowed");
    }
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let valid_start = name.starts_with(|first: char| first.is_ascii_alphanumeric());
    valid_start && name.bytes().all(allowed)
}
