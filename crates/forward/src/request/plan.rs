//! What is known of a request before it goes to a backend.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use millford_api::config::{ForwardRoute, Tenant};
use millford_core::{Duration, MonotonicTime};

use crate::protocol::RequestFacts;

/// Longest time that a request without a limit of its own is held.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3600);

/// Ranks of routes within one rank of tenants.
const ROUTE_RANKS: u32 = 3;

/// The last of the ranks that backends know.
const LOWEST_URGENCY: u32 = 9;

/// Everything that the attempts at a request have in common.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The route that takes the request.
    pub route: Arc<ForwardRoute>,
    /// Pool of the route that serves this request.
    pub pool: String,
    /// The caller's tenant.
    pub tenant: Option<Arc<Tenant>>,
    /// What the caller's headers say.
    pub facts: RequestFacts,
    /// Method, path and body go to the backend as they came.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers without those of the connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When the request was read.
    pub arrived: MonotonicTime,
    /// When it has to be answered.
    pub deadline: MonotonicTime,
}

impl Plan {
    /// When a request of these facts on the route has to be answered.
    #[must_use]
    pub fn deadline_of(
        arrived: MonotonicTime,
        route: &ForwardRoute,
        facts: &RequestFacts,
    ) -> MonotonicTime {
        let route_limit = match route.timeout_ms {
            0 => DEFAULT_DEADLINE,
            millis => Duration::from_millis(u64::from(millis)),
        };
        let budget = facts.time_budget.unwrap_or(DEFAULT_DEADLINE);
        arrived + route_limit.min(budget)
    }

    /// Whether the request may run more than once.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.route.repeatable || self.is_resumable()
    }

    /// Whether another backend may continue the answer.
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

    /// Rank among requests at a backend: the tenant's goes before the route's.
    #[must_use]
    pub fn urgency(&self) -> u32 {
        let tenant = self.tenant.as_ref().map_or(0, |tenant| tenant.priority);
        let route = self.route.priority.min(ROUTE_RANKS - 1);
        (tenant.saturating_mul(ROUTE_RANKS) + route).min(LOWEST_URGENCY)
    }

    /// Tokens of the prompt.
    #[must_use]
    pub fn prompt_tokens(&self) -> u64 {
        let parts = self
            .facts
            .prefix_blocks
            .iter()
            .map(|part| u64::from(part.tokens));
        self.facts.prompt_tokens.unwrap_or_else(|| parts.sum())
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
