//! One route of the configuration, ready for matching.

use millford_api::config::{Resume, Route, RouteMatch};
use millford_core::Duration;

use crate::model_request::ModelRequest;

/// Deadline of a route that names none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u32 = 60_000;

/// A route with its fields in the types that the request path uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Unique name of the route.
    pub name: String,
    /// What the route matches.
    pub matches: RouteMatch,
    /// Name of the pool that serves it.
    pub pool: String,
    /// Whether a request may be sent to a second backend.
    pub repeatable: bool,
    /// What may happen to a stream after its first chunk.
    pub resume: Resume,
    /// Longest time from arrival to the last byte.
    pub deadline: Duration,
    /// Time without a response before a hedged request, if the route hedges.
    pub hedge_delay: Option<Duration>,
}

impl RouteEntry {
    /// Converts a configured route.
    #[must_use]
    pub fn from_config(route: &Route) -> Self {
        let deadline_ms = match route.deadline_ms {
            0 => DEFAULT_DEADLINE_MS,
            configured => configured,
        };
        let hedge = route.hedge.as_ref();
        Self {
            name: route.name.clone(),
            matches: route.r#match.clone().unwrap_or_default(),
            pool: route.pool.clone(),
            repeatable: route.repeatable,
            resume: Resume::try_from(route.resume).unwrap_or(Resume::Never),
            deadline: Duration::from_millis(u64::from(deadline_ms)),
            hedge_delay: hedge.map(|hedge| Duration::from_millis(u64::from(hedge.delay_ms))),
        }
    }

    /// Whether the route serves GET lookups.
    #[must_use]
    pub fn is_lookup(&self) -> bool {
        !self.matches.path_prefix.is_empty()
    }

    /// Whether the route matches a request for this model.
    #[must_use]
    pub fn matches_model(&self, requested: &ModelRequest) -> bool {
        let matches = &self.matches;
        !self.is_lookup()
            && field_matches(&matches.model, &requested.model)
            && field_matches(&matches.version, &requested.version)
            && field_matches(&matches.stage, &requested.stage)
            && field_matches(&matches.adapter, &requested.adapter)
    }

    /// Whether the route matches a lookup of this path. A prefix ends at a path segment.
    #[must_use]
    pub fn matches_path(&self, path: &str) -> bool {
        let prefix = self.matches.path_prefix.as_str();
        if !self.is_lookup() || !path.starts_with(prefix) {
            return false;
        }
        prefix.ends_with('/') || path.len() == prefix.len() || path[prefix.len()..].starts_with('/')
    }

    /// How many fields the route fixes: among several that match, the most specific wins.
    #[must_use]
    pub fn specificity(&self) -> usize {
        let matches = &self.matches;
        let fields = [
            &matches.adapter,
            &matches.stage,
            &matches.version,
            &matches.model,
        ];
        fields.iter().filter(|field| !field.is_empty()).count() + matches.path_prefix.len()
    }

    /// What a backend must declare to serve `requested` through this route.
    ///
    /// The route's own fields fill in what the request left open.
    #[must_use]
    pub fn requirement(&self, requested: &ModelRequest) -> ModelRequest {
        let matches = &self.matches;
        ModelRequest {
            model: first_named(&requested.model, &matches.model),
            version: first_named(&requested.version, &matches.version),
            stage: first_named(&requested.stage, &matches.stage),
            adapter: first_named(&requested.adapter, &matches.adapter),
        }
    }
}

fn field_matches(configured: &str, requested: &str) -> bool {
    configured.is_empty() || configured == requested
}

fn first_named(requested: &str, configured: &str) -> String {
    let named = if requested.is_empty() {
        configured
    } else {
        requested
    };
    named.to_owned()
}
