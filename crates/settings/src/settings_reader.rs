//! Settings that a process reads again while it runs.

use std::sync::Arc;

/// Reads a value of the settings as they are now. Returns `None` if the settings cannot be read or are invalid; the
/// process then keeps the value that it has.
pub type SettingsReader<T> = Arc<dyn Fn() -> Option<T> + Send + Sync>;
