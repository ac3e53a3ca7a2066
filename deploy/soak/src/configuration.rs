//! Configurations that the operator sends, and what each of them permits.
//!
//! Every configuration contains the same base route and, for itself and each of its predecessors within
//! [`ITEM_LIFETIME`], a route and a key of its own. So a request on such a route with such a key shows which versions
//! can have decided it. Some configurations hold no key at all, see [`TenantList`].

use serde_json::{Value, json};

/// Position of a configuration in the order in which the operator sends them, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation(pub u64);

/// Number of generations that contain a generation's route and key, its own included.
pub const ITEM_LIFETIME: u64 = 3;
/// Host of every route.
pub const HOST: &str = "soak.example";
/// Service of every route.
pub const SERVICE: &str = "soak-backends";
/// Service of the routes whose backends are faulty.
pub const FAULTY_SERVICE: &str = "soak-faulty";
/// Service of the route whose backends send long events.
pub const LONG_EVENT_SERVICE: &str = "soak-long-events";
/// Path prefix of the route to faulty backends whose requests may be repeated.
pub const FAULTY_PATH: &str = "/faulty/";
/// Path prefix of the route to faulty backends whose streams may be resumed.
pub const FAULTY_STREAM_PATH: &str = "/faulty-stream/";
/// Path prefix of the route for resumable streams of long events.
pub const LONG_EVENT_PATH: &str = "/long-event/";
/// Path prefix of the route for streams, which every configuration contains.
pub const STREAM_PATH: &str = "/stream/";
/// Path prefix of the route for requests that must not run twice, which every configuration contains.
pub const UNSAFE_PATH: &str = "/unsafe/";
/// Key that every configuration contains whose tenant has keys.
pub const PERMANENT_KEY: &str = "permanent-key-0000";
/// Key that no configuration contains.
pub const NEVER_HELD_KEY: &str = "never-held-key-0000";
/// Time limit of the routes of single generations, in milliseconds.
pub const PROBE_TIMEOUT_MS: u64 = 1500;
/// Time limit of the permanent routes, in milliseconds.
pub const ROUTE_TIMEOUT_MS: u64 = 4000;
/// One in so many generations has a tenant without keys, and another one an empty list of tenants.
const EMPTIED_INTERVAL: u64 = 8;
/// Remainder of the generations whose tenant has no key.
const KEYLESS_REMAINDER: u64 = 5;
/// Remainder of the generations whose list of tenants is empty.
const EMPTY_LIST_REMAINDER: u64 = 0;
/// Difference between the versions of two successive generations, which leaves room for a rival.
const VERSION_STEP: u64 = 2;
/// Largest request body that a configuration allows, in bytes.
pub const MAX_BODY_BYTES: usize = 4_194_304;
/// Backends that a repeatable request may go to.
const MAX_ATTEMPTS: u64 = 3;
/// Connections that each backend accepts according to the configuration.
const MAX_CONNECTIONS: u64 = 370;

/// The tenants that a configuration lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantList {
    /// A tenant with keys.
    WithKeys,
    /// A tenant whose keys were all taken away.
    WithoutKeys,
    /// No tenant.
    Empty,
}

/// One of the two configurations that may be sent for a generation on the same base, of which one wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contender {
    /// The configuration that is always sent.
    First,
    /// A configuration of another operator, with a route of its own.
    Rival,
}

impl Generation {
    /// Number of the version of a contender's configuration.
    #[must_use]
    pub fn version(self, contender: Contender) -> u64 {
        let first = self.0 * VERSION_STEP;
        match contender {
            Contender::First => first,
            Contender::Rival => first + 1,
        }
    }

    /// Path prefix of the route that this generation adds.
    #[must_use]
    pub fn path(self) -> String {
        format!("/probe-{}/", self.0)
    }

    /// Key that this generation adds.
    #[must_use]
    pub fn key(self) -> String {
        format!("generation-key-{:06}", self.0)
    }

    /// Whether the configuration of this generation contains the route and the key that `added` introduced.
    #[must_use]
    pub fn contains(self, added: Self) -> bool {
        added <= self && self.0 < added.0 + ITEM_LIFETIME
    }

    /// The tenants of this generation's configuration.
    #[must_use]
    pub fn tenant_list(self) -> TenantList {
        match self.0 % EMPTIED_INTERVAL {
            EMPTY_LIST_REMAINDER => TenantList::Empty,
            KEYLESS_REMAINDER => TenantList::WithoutKeys,
            _ => TenantList::WithKeys,
        }
    }

    /// Whether the key that `added` introduced is valid in the configuration of this generation.
    #[must_use]
    pub fn holds_key_of(self, added: Self) -> bool {
        self.holds_permanent_key() && self.contains(added)
    }

    /// Whether [`PERMANENT_KEY`] is valid in the configuration of this generation.
    #[must_use]
    pub fn holds_permanent_key(self) -> bool {
        self.tenant_list() == TenantList::WithKeys
    }

    /// The generations whose routes and keys this one contains.
    pub fn contained(self) -> impl Iterator<Item = Self> {
        let first = self.0.saturating_sub(ITEM_LIFETIME - 1).max(1);
        (first..=self.0).map(Self)
    }

    /// The configuration as an operator sends it.
    #[must_use]
    pub fn document(self, contender: Contender) -> Value {
        let mut routes = vec![
            route("stream", STREAM_PATH, "stream", ROUTE_TIMEOUT_MS),
            route("unsafe", UNSAFE_PATH, "unsafe", ROUTE_TIMEOUT_MS),
            repeatable_route("faulty", FAULTY_PATH, "safe", FAULTY_SERVICE),
            repeatable_route(
                "faulty-stream",
                FAULTY_STREAM_PATH,
                "stream",
                FAULTY_SERVICE,
            ),
            repeatable_route("long-event", LONG_EVENT_PATH, "stream", LONG_EVENT_SERVICE),
        ];
        if contender == Contender::Rival {
            let path = format!("/rival-{}/", self.0);
            routes.push(route("rival", &path, "safe", PROBE_TIMEOUT_MS));
        }
        for generation in self.contained() {
            let name = format!("probe-{}", generation.0);
            routes.push(route(&name, &generation.path(), "safe", PROBE_TIMEOUT_MS));
        }
        json!({
            "version": self.version(contender),
            "routes": routes,
            "services": [service(SERVICE), service(FAULTY_SERVICE), service(LONG_EVENT_SERVICE)],
            "limits": {
                "maxHeaderBytes": 16_384, "maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000,
            },
            "tenants": self.tenants(),
        })
    }

    fn tenants(self) -> Value {
        let keys = match self.tenant_list() {
            TenantList::Empty => return json!([]),
            TenantList::WithoutKeys => Vec::new(),
            TenantList::WithKeys => {
                let permanent = std::iter::once(PERMANENT_KEY.to_owned());
                let generations = self.contained().map(Self::key);
                permanent.chain(generations).collect()
            }
        };
        json!([{
            "name": "member", "apiKeys": keys, "priority": 1, "unit": "tokens", "plainTokens": 1,
            "ratePerS": 0, "burst": 0,
        }])
    }
}

fn service(name: &str) -> Value {
    json!({
        "name": name, "healthPath": "/health", "maxConns": MAX_CONNECTIONS, "protocol": "h1", "tls": false,
    })
}

/// A route whose requests may go to several backends and whose streams may be resumed.
fn repeatable_route(name: &str, path: &str, route_type: &str, service: &str) -> Value {
    let mut route = route(name, path, route_type, ROUTE_TIMEOUT_MS);
    route["service"] = json!(service);
    route["maxAttempts"] = json!(MAX_ATTEMPTS);
    route["resumable"] = json!(route_type == "stream");
    route
}

fn route(name: &str, path: &str, route_type: &str, timeout_ms: u64) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": path, "routeType": route_type, "timeoutMs": timeout_ms,
        "targetMs": 500, "priority": 1, "service": SERVICE, "maxAttempts": 1, "public": false, "sticky": false,
        "resumable": false, "gapTargetMs": 600,
    })
}
