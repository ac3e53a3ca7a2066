//! Tenants that press on their quota.

use std::time::Duration;

use tokio::time::interval;

use super::driver::{Driver, Recovery};
use crate::workload::callers::TenantCredentials;
use crate::workload::{Callers, CallersOptions};

/// How long a hot tenant presses.
const HOT_TIME: Duration = Duration::from_secs(4);
/// Time between two lookups of a hot tenant: five times the smallest quota.
const HOT_PERIOD: Duration = Duration::from_millis(10);
/// Lookups that a hot tenant sends at once.
const HOT_BURST: usize = 80;

impl Driver {
    /// The tenant with the smallest quota sends a burst, then several times its rate, to every
    /// proxy.
    pub async fn exceed_quota(&mut self) -> Recovery {
        let tenant = self.last_tenant();
        let mut callers = self.callers_of(&tenant);
        for _ in 0..HOT_BURST {
            callers.start_lookup();
        }
        send_steadily(&mut callers, HOT_PERIOD, HOT_TIME).await;
        let outcomes = callers.finish().await;
        self.log.add(|history| history.calls.extend(outcomes));
        Recovery::now(&tenant.name)
    }

    /// The tenant whose quota is the smallest.
    #[must_use]
    pub fn last_tenant(&self) -> TenantCredentials {
        let last = self.callers.tenants.len() - 1;
        self.callers.tenants[last].clone()
    }

    /// Callers of one tenant, with markers that no other callers have.
    pub fn callers_of(&mut self, tenant: &TenantCredentials) -> Callers {
        self.marker_seeds += 1;
        Callers::new(CallersOptions {
            tenants: vec![tenant.clone()],
            seed: self.callers.seed + self.marker_seeds,
            ..self.callers.clone()
        })
    }
}

/// Starts lookups at a steady pace.
pub async fn send_steadily(callers: &mut Callers, period: Duration, length: Duration) {
    let mut beats = interval(period);
    let count = length.as_micros() / period.as_micros().max(1);
    for _ in 0..count {
        beats.tick().await;
        callers.start_lookup();
    }
}
