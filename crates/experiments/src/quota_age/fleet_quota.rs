//! The tenant whose quota the simulated fleets enforce, and its request rate.

use millford_api::config::{Tenant, TokenQuota};
use millford_core::Duration;

/// The quota's rate, in tokens a second.
pub const RATE: u64 = 10_000;
/// The quota's burst, in tokens.
pub const BURST: u64 = 10_000;
/// Cost of one request, in tokens.
pub const REQUEST: u64 = 100;
/// Window over which the quota is checked.
pub const WINDOW: Duration = Duration::from_secs(8);
/// Length of a simulation step, in milliseconds.
pub const STEP_MS: u64 = 5;

/// Returns the tenant's quota.
#[must_use]
pub fn quota() -> TokenQuota {
    TokenQuota {
        tokens_per_second: RATE,
        burst: BURST,
        default_tokens: 1,
    }
}

/// Returns the tenant's configuration.
#[must_use]
pub fn tenant() -> Tenant {
    Tenant {
        name: "tenant".to_owned(),
        token_quota: Some(quota()),
        ..Tenant::default()
    }
}

/// Returns the number of tokens that the quota allows in one window: its rate over the window plus the burst.
#[must_use]
pub fn allowed() -> u64 {
    RATE * WINDOW.as_secs() + BURST
}

/// Source of requests at a constant rate, which spreads them evenly over the simulation steps.
#[derive(Clone, Copy, Debug)]
pub struct RequestSource {
    per_step: f64,
    due: f64,
}

impl RequestSource {
    /// Creates a source whose rate is `times` the quota's rate.
    #[must_use]
    pub fn of(times: f64) -> Self {
        let per_second = RATE as f64 * times / REQUEST as f64;
        Self {
            per_step: per_second * STEP_MS as f64 / 1000.0,
            due: 0.0,
        }
    }

    /// Returns the number of requests that arrive in the next step.
    pub fn due_now(&mut self) -> usize {
        self.due += self.per_step;
        let complete = self.due.floor();
        self.due -= complete;
        complete as usize
    }
}
