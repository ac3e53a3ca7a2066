//! What a service registry has to be able to do.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use crate::error::RegistryError;
use crate::view::RegistryView;

/// One reading under way.
pub type Reading<'a> =
    Pin<Box<dyn Future<Output = Result<RegistryView, RegistryError>> + Send + 'a>>;

/// A registry that several parts of a process may read.
pub type SharedRegistry = Arc<dyn ServiceRegistry>;

/// Lists the backends. Its list trails reality.
pub trait ServiceRegistry: Send + Sync {
    /// Reads the whole list once. A list that is incomplete in any way is an error, never a view.
    fn read(&self) -> Reading<'_>;
}
