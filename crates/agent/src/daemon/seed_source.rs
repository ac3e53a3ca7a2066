//! Seeds as the settings name them now.

use std::sync::Arc;

/// Reads the seeds again while the process runs, because every control node that the agent knows may have been
/// replaced.
pub trait SeedSource: Send + Sync {
    /// Returns the internal addresses of the control nodes, or `None` if the settings cannot be read or are invalid.
    fn read(&self) -> Option<Vec<String>>;
}

/// A source that the process shares with the task that reads it.
pub type SharedSeedSource = Arc<dyn SeedSource>;

impl<F> SeedSource for F
where
    F: Fn() -> Option<Vec<String>> + Send + Sync,
{
    fn read(&self) -> Option<Vec<String>> {
        self()
    }
}
