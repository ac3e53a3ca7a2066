//! The parameters of a request that are determined before it is sent to a backend.

use std::sync::Arc;

use http::{HeaderMap, Method, Uri};
use millford_api::config::{ForwardRoute, Tenant};
use millford_bounded_io::HeldBytes;
use millford_core::{Duration, MonotonicTime};

use crate::protocol::RequestFacts;

/// Timeout of a request if neither the route nor the caller limits it.
const DEFAULT_TIMEOUT: Duration = Duration::from_hours(1);

/// Number of route priorities within each tenant priority.
const ROUTE_PRIORITIES: u32 = 3;

/// The lowest urgency that backends support; 0 is the highest.
const LOWEST_URGENCY: u32 = 9;

/// The parameters that all attempts at a request share.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The route that the request matches.
    pub route: Arc<ForwardRoute>,
    /// Name of the pool that was drawn among the route's pools for this request.
    pub pool: String,
    /// The caller's tenant; `None` if the request needs no key.
    pub tenant: Option<Arc<Tenant>>,
    /// Facts parsed from the caller's headers.
    pub facts: RequestFacts,
    /// The caller's method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub uri: Uri,
    /// The caller's headers without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete body, forwarded unchanged.
    pub body: HeldBytes,
    /// When the request's headers were read.
    pub arrived: MonotonicTime,
    /// When the response has to be complete.
    pub deadline: MonotonicTime,
}

impl Plan {
    /// Returns the deadline of a request: the route's timeout or the caller's time budget after its arrival,
    /// whichever is earlier.
    #[must_use]
    pub fn deadline_of(
        arrived: MonotonicTime,
        route: &ForwardRoute,
        facts: &RequestFacts,
    ) -> MonotonicTime {
        let route_timeout = match route.timeout_ms {
            0 => DEFAULT_TIMEOUT,
            millis => Duration::from_millis(u64::from(millis)),
        };
        let budget = facts.time_budget.unwrap_or(DEFAULT_TIMEOUT);
        arrived + route_timeout.min(budget)
    }

    /// Whether the request may run more than once, so that it may be retried after an attempt that may have run.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.route.repeatable || self.is_resumable()
    }

    /// Whether another backend may resume the response stream.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.route.stream && self.route.resumable
    }

    /// Returns the largest number of attempts that may run: the route's limit if the request is repeatable, or
    /// else 1.
    #[must_use]
    pub fn max_runs(&self) -> u32 {
        if self.is_repeatable() {
            self.route.max_attempts.max(1)
        } else {
            1
        }
    }

    /// Returns the urgency for the backend, from 0 (highest) to 9: ordered by the tenant's priority, then by the
    /// route's.
    #[must_use]
    pub fn urgency(&self) -> u32 {
        let tenant = self.tenant.as_ref().map_or(0, |tenant| tenant.priority);
        let route = self.route.priority.min(ROUTE_PRIORITIES - 1);
        (tenant.saturating_mul(ROUTE_PRIORITIES) + route).min(LOWEST_URGENCY)
    }

    /// Returns the number of prompt tokens: as declared by the caller, or else the sum of its prefix blocks.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        let blocks = self.facts.prefix_blocks.iter();
        let tokens = blocks.map(|block| u64::from(block.tokens));
        self.facts.prompt_tokens.unwrap_or_else(|| tokens.sum())
    }

    /// Returns the tokens that the request is charged to its tenant's quota: prompt and output tokens if the
    /// caller declared both, or else the quota's default.
    #[must_use]
    pub fn quota_tokens(&self) -> u64 {
        let default = self
            .tenant
            .as_ref()
            .and_then(|tenant| tenant.token_quota)
            .map_or(0, |quota| quota.default_tokens);
        match (self.facts.prompt_tokens, self.facts.output_tokens) {
            (Some(prompt), Some(output)) => prompt.saturating_add(output),
            _ => default,
        }
    }
}
