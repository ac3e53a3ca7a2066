//! The tenant whose quota the fleets enforce, and the traffic against it.

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

/// The tenant's quota.
#[must_use]
pub fn quota() -> TokenQuota {
    TokenQuota {
        tokens_per_second: RATE,
        burst: BURST,
        default_tokens: 1,
    }
}

/// The tenant.
#[must_use]
pub fn tenant() -> Tenant {
    Tenant {
        name: "tenant".to_owned(),
        token_quota: Some(quota()),
        ..Tenant::default()
    }
}

/// Tokens that may be admitted in one window.
#[must_use]
pub fn allowed() -> u64 {
    RATE * WINDOW.as_secs() + BURST
}

/// Requests that are due in each step, at so many times the quota's rate.
#[derive(Clone, Copy, Debug)]
pub struct Pressure {
    per_step: f64,
    due: f64,
}

impl Pressure {
    /// A steady pressure.
    #[must_use]
    pub fn of(times: f64) -> Self {
        let per_second = RATE as f64 * times / REQUEST as f64;
        Self {
            per_step: per_second * STEP_MS as f64 / 1000.0,
            due: 0.0,
        }
    }

    /// Requests of the next step.
    pub fn due_now(&mut self) -> usize {
        self.due += self.per_step;
        let complete = self.due.floor();
        self.due -= complete;
        complete as usize
    }
}
