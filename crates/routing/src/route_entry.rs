//! A configured route, prepared for matching requests.

use millford_api::config::{Resume, Route, RouteMatch};
use millford_core::Duration;

use crate::model_request::ModelRequest;

/// Deadline of a route that sets none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u32 = 60_000;

/// A configured route, converted to the types of the request path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    /// Unique name of the route.
    pub name: String,
    /// Conditions that a request must meet; an empty field matches any value.
    pub matches: RouteMatch,
    /// Name of the pool that serves the route.
    pub pool: String,
    /// Whether a request may be sent to a second backend.
    pub repeatable: bool,
    /// Whether and how a stream that breaks after its first chunk is resumed on another backend.
    pub resume: Resume,
    /// Longest time from the arrival of a request to the last byte of its response.
    pub deadline: Duration,
    /// Time without a response after which a hedge is sent; `None` if the route does not hedge.
    pub hedge_delay: Option<Duration>,
}

impl RouteEntry {
    /// Converts a configured route and fills in the defaults.
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

    /// Returns whether the route serves GET lookups by path instead of model requests.
    #[must_use]
    pub fn is_lookup(&self) -> bool {
        !self.matches.path_prefix.is_empty()
    }

    /// Returns whether the route matches a request for this model.
    #[must_use]
    pub fn matches_model(&self, requested: &ModelRequest) -> bool {
        let matches = &self.matches;
        !self.is_lookup()
            && field_matches(&matches.model, &requested.model)
            && field_matches(&matches.version, &requested.version)
            && field_matches(&matches.stage, &requested.stage)
            && field_matches(&matches.adapter, &requested.adapter)
    }

    /// Returns whether the route matches a lookup of this path. A prefix matches only whole path segments.
    #[must_use]
    pub fn matches_path(&self, path: &str) -> bool {
        let prefix = self.matches.path_prefix.as_str();
        if !self.is_lookup() || !path.starts_with(prefix) {
            return false;
        }
        prefix.ends_with('/') || path.len() == prefix.len() || path[prefix.len()..].starts_with('/')
    }

    /// Returns the rank of the route among several that match; the highest wins. It is the number of
    /// model fields that the route sets plus the length of its path prefix.
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

    /// Returns what a backend must declare to serve `requested` through this route.
    ///
    /// The fields of the route fill in those that the request leaves empty.
    #[must_use]
    pub fn requirement(&self, requested: &ModelRequest) -> ModelRequest {
        let matches = &self.matches;
        ModelRequest {
            model: first_non_empty(&requested.model, &matches.model),
            version: first_non_empty(&requested.version, &matches.version),
            stage: first_non_empty(&requested.stage, &matches.stage),
            adapter: first_non_empty(&requested.adapter, &matches.adapter),
        }
    }
}

fn field_matches(configured: &str, requested: &str) -> bool {
    configured.is_empty() || configured == requested
}

fn first_non_empty(requested: &str, configured: &str) -> String {
    let named = if requested.is_empty() {
        configured
    } else {
        requested
    };
    named.to_owned()
}
