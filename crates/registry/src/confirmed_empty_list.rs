//! Believes a list without any backend once it has stayed empty.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::error::RegistryError;
use crate::service_registry::{ReadFuture, ServiceRegistry, SharedRegistry};
use crate::view::RegistryView;

/// Time for which a list must stay empty. A registry that has just started lists the backends again within that time.
pub const EMPTY_LIST_CONFIRMATION: Duration = Duration::from_millis(1500);

/// Longest pause between two reads of the same empty period.
const MAX_READ_PAUSE: Duration = Duration::from_secs(3);

/// A registry whose empty list is an error at first and a view without backends once reads over
/// [`EMPTY_LIST_CONFIRMATION`] found nothing else.
///
/// Without it the last backends that leave a registry would be used for ever.
pub struct ConfirmedEmptyList {
    registry: SharedRegistry,
    empty: Mutex<Option<EmptyPeriod>>,
}

/// Successive reads of an empty list.
#[derive(Clone, Copy)]
struct EmptyPeriod {
    since: Instant,
    last_read: Instant,
}

impl ConfirmedEmptyList {
    /// Wraps a registry that returns [`RegistryError::Empty`] for an empty list.
    #[must_use]
    pub fn wrap(registry: SharedRegistry) -> SharedRegistry {
        Arc::new(Self {
            registry,
            empty: Mutex::new(None),
        })
    }

    fn confirm(
        &self,
        read: Result<RegistryView, RegistryError>,
    ) -> Result<RegistryView, RegistryError> {
        let now = Instant::now();
        let mut empty = self.empty.lock().unwrap_or_else(PoisonError::into_inner);
        match read {
            Err(RegistryError::Empty) => {
                let since = match *empty {
                    Some(period) if now - period.last_read <= MAX_READ_PAUSE => period.since,
                    _ => now,
                };
                *empty = Some(EmptyPeriod {
                    since,
                    last_read: now,
                });
                if now - since >= EMPTY_LIST_CONFIRMATION {
                    Ok(RegistryView::default())
                } else {
                    Err(RegistryError::Empty)
                }
            }
            Ok(view) => {
                *empty = None;
                Ok(view)
            }
            Err(error) => Err(error),
        }
    }
}

impl ServiceRegistry for ConfirmedEmptyList {
    fn read(&self) -> ReadFuture<'_> {
        Box::pin(async { self.confirm(self.registry.read().await) })
    }
}
