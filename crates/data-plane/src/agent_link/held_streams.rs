//! Stream slots that the proxy holds, told to the agent on each new connection.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_api::local::{ProxyStreams, TenantStreams};

/// Granted and not yet released stream slots by tenant.
///
/// The lock is held while a grant or release is passed on, so that the counts told on a new
/// connection and the frames that follow them agree.
#[derive(Clone, Debug, Default)]
pub struct HeldStreams(Arc<Mutex<BTreeMap<String, u32>>>);

/// The counts while nobody else changes them.
pub struct HeldStreamsGuard<'a>(MutexGuard<'a, BTreeMap<String, u32>>);

impl HeldStreams {
    /// Keeps others from changing the counts.
    #[must_use]
    pub fn lock(&self) -> HeldStreamsGuard<'_> {
        HeldStreamsGuard(self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl HeldStreamsGuard<'_> {
    /// A slot was granted.
    pub fn add(&mut self, tenant: &str) {
        *self.0.entry(tenant.to_owned()).or_default() += 1;
    }

    /// A slot is given back.
    pub fn remove(&mut self, tenant: &str) {
        if let Some(streams) = self.0.get_mut(tenant) {
            *streams = streams.saturating_sub(1);
        }
        self.0.retain(|_, streams| *streams > 0);
    }

    /// The counts as the agent is told.
    #[must_use]
    pub fn to_frame(&self) -> ProxyStreams {
        let tenants = self.0.iter().map(|(tenant, streams)| TenantStreams {
            tenant: tenant.clone(),
            streams: *streams,
        });
        ProxyStreams {
            tenants: tenants.collect(),
        }
    }
}
