//! What is known of a request before it goes to a backend.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use millford_api::config::{ForwardRoute, Tenant};
use millford_core::{Duration, MonotonicTime};

use crate::protocol::RequestFacts;

/// Time that a request without any limit may take.
const DEFAULT_TIMEOUT: Duration = Duration::from_hours(1);

/// Priorities of routes within one priority of tenants.
const ROUTE_PRIORITIES: u32 = 3;

/// The least urgent of the urgencies that backends know.
const LEAST_URGENT: u32 = 9;

/// Everything that the attempts at a request have in common.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The route that the request matches.
    pub route: Arc<ForwardRoute>,
    /// Pool of the route that serves this request.
    pub pool: String,
    /// The caller's tenant.
    pub tenant: Option<Arc<Tenant>>,
    /// What the caller's headers say.
    pub facts: RequestFacts,
    /// Method; with path and body it goes to the backend as it came.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers without those of the connection.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// When the request's head was read.
    pub arrived: MonotonicTime,
    /// When the response has to be complete.
    pub deadline: MonotonicTime,
}

impl Plan {
    /// Deadline of a request with these facts on the route.
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

    /// Whether the request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.route.repeatable || self.is_resumable()
    }

    /// Whether another backend may continue the response.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.route.stream && self.route.resumable
    }

    /// Most backends that the request may run on.
    #[must_use]
    pub fn max_runs(&self) -> u32 {
        if self.is_repeatable() {
            self.route.max_attempts.max(1)
        } else {
            1
        }
    }

    /// Urgency at a backend, 0 first: the tenant's priority goes before the route's.
    #[must_use]
    pub fn urgency(&self) -> u32 {
        let tenant = self.tenant.as_ref().map_or(0, |tenant| tenant.priority);
        let route = self.route.priority.min(ROUTE_PRIORITIES - 1);
        (tenant.saturating_mul(ROUTE_PRIORITIES) + route).min(LEAST_URGENT)
    }

    /// Tokens of the prompt.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        let blocks = self.facts.prefix_blocks.iter();
        let tokens = blocks.map(|block| u64::from(block.tokens));
        self.facts.prompt_tokens.unwrap_or_else(|| tokens.sum())
    }

    /// Tokens that the request counts for its tenant's quota.
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
