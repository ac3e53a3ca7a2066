//! Stream slots that the agent granted and that are not yet released.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_api::local::{ProxyStreams, TenantStreams};

/// Number of granted and not yet released stream slots by tenant.
///
/// The lock is held while a grant is passed to its requester and while a release is queued, so that the
/// counts sent on a new connection agree with the frames that follow them.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantedStreams(Arc<Mutex<BTreeMap<String, u32>>>);

/// Exclusive access to the counts.
pub(super) struct GrantedStreamsGuard<'a>(MutexGuard<'a, BTreeMap<String, u32>>);

impl GrantedStreams {
    /// Locks the counts.
    pub(super) fn lock(&self) -> GrantedStreamsGuard<'_> {
        GrantedStreamsGuard(self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl GrantedStreamsGuard<'_> {
    /// Counts a granted slot.
    pub(super) fn add(&mut self, tenant: &str) {
        *self.0.entry(tenant.to_owned()).or_default() += 1;
    }

    /// Counts a released slot.
    pub(super) fn remove(&mut self, tenant: &str) {
        if let Some(streams) = self.0.get_mut(tenant) {
            *streams = streams.saturating_sub(1);
        }
        self.0.retain(|_, streams| *streams > 0);
    }

    /// Converts the counts to the message that the agent receives on a new connection.
    pub(super) fn to_message(&self) -> ProxyStreams {
        let tenants = self.0.iter().map(|(tenant, streams)| TenantStreams {
            tenant: tenant.clone(),
            streams: *streams,
        });
        ProxyStreams {
            tenants: tenants.collect(),
        }
    }
}
