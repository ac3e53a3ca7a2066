//! The interface between millford and a service registry.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use crate::error::RegistryError;
use crate::view::RegistryView;

/// One read in progress.
pub type ReadFuture<'a> =
    Pin<Box<dyn Future<Output = Result<RegistryView, RegistryError>> + Send + 'a>>;

/// A registry that several parts of a process may read.
pub type SharedRegistry = Arc<dyn ServiceRegistry>;

/// Lists the backends. The list is eventually consistent: it lags behind the backends' real state.
pub trait ServiceRegistry: Send + Sync {
    /// Reads the complete list once. A list that is incomplete in any way is an error, never a view.
    fn read(&self) -> ReadFuture<'_>;
}
