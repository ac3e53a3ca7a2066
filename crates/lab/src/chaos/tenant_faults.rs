//! Generates the traffic of a tenant that exceeds its quota.

use std::time::Duration;

use tokio::time::interval;

use super::driver::{Driver, Recovery};
use crate::workload::callers::TenantCredentials;
use crate::workload::{Callers, CallersOptions};

/// Duration of a hot tenant's traffic.
const HOT_TIME: Duration = Duration::from_secs(4);
/// Interval of a hot tenant's lookups: five times the rate of the smallest quota.
const HOT_PERIOD: Duration = Duration::from_millis(10);
/// Number of lookups that a hot tenant sends at once.
const HOT_BURST: usize = 80;

impl Driver {
    /// Sends a burst of lookups as the tenant with the smallest quota, then lookups at several times its
    /// rate, to all proxies in turn.
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

    /// Returns the last tenant, which has the smallest quota in the example documents.
    #[must_use]
    pub fn last_tenant(&self) -> TenantCredentials {
        let last = self.callers.tenants.len() - 1;
        self.callers.tenants[last].clone()
    }

    /// Creates callers of one tenant, whose markers differ from those of all other callers.
    pub fn callers_of(&mut self, tenant: &TenantCredentials) -> Callers {
        self.caller_groups += 1;
        Callers::new(CallersOptions {
            tenants: vec![tenant.clone()],
            seed: self.callers.seed + self.caller_groups,
            ..self.callers.clone()
        })
    }
}

/// Starts a lookup at each interval `period` for the duration `length`.
pub async fn send_steadily(callers: &mut Callers, period: Duration, length: Duration) {
    let mut ticks = interval(period);
    let count = length.as_micros() / period.as_micros().max(1);
    for _ in 0..count {
        ticks.tick().await;
        callers.start_lookup();
    }
}
