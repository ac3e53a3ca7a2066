//! The interface between millford and a service registry.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use crate::error::RegistryError;
use crate::view::RegistryView;

/// Future of one registry read.
pub type ReadFuture<'a> =
    Pin<Box<dyn Future<Output = Result<RegistryView, RegistryError>> + Send + 'a>>;

/// A registry that is shared by several parts of a process.
pub type SharedRegistry = Arc<dyn ServiceRegistry>;

/// A registry that lists the backends. The list is eventually consistent: it lags behind the actual
/// state of the backends.
pub trait ServiceRegistry: Send + Sync {
    /// Reads the complete list once. A list that is incomplete in any way is an error, never a
    /// view.
    fn read(&self) -> ReadFuture<'_>;
}
