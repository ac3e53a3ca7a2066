//! Keys of the public state that the feed carries.

/// Key of the revision and digest of the current configuration.
pub const CONFIG_HEAD: &str = "config/head";
/// Key of the limits of clients' HTTP connections.
pub const HTTP_LIMITS: &str = "config/limits";
/// Prefix of every key of the configuration.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the control members' keys.
pub const CONTROL_PREFIX: &str = "control/";
/// Prefix of the backends' keys.
pub const BACKEND_PREFIX: &str = "backend/";
/// Prefix of the placements' keys.
pub const PLACEMENT_PREFIX: &str = "placement/";

/// Key of the route with this name.
#[must_use]
pub fn route(name: &str) -> String {
    format!("config/route/{name}")
}

/// Key of the forwarding route with this name.
#[must_use]
pub fn forward_route(name: &str) -> String {
    format!("config/forward/{name}")
}

/// Key of a proxy's address for messages of other proxies.
#[must_use]
pub fn proxy_member(member: &str) -> String {
    format!("proxy/{member}")
}

/// Key of the pool with this name.
#[must_use]
pub fn pool(name: &str) -> String {
    format!("config/pool/{name}")
}

/// Key of the tenant with this name.
#[must_use]
pub fn tenant(name: &str) -> String {
    format!("config/tenant/{name}")
}

/// Key of a control member; the identity is written in hexadecimal, as in logs.
#[must_use]
pub fn control_member(node_id: u64) -> String {
    format!("control/{node_id:016x}")
}

/// Prefix of the keys of one service's backends.
#[must_use]
pub fn service_backends(service: &str) -> String {
    format!("backend/{service}/")
}

/// Key of one backend of a service.
#[must_use]
pub fn backend(service: &str, backend_id: &str) -> String {
    format!("backend/{service}/{backend_id}")
}

/// Key of a pool's placement.
#[must_use]
pub fn placement(pool: &str) -> String {
    format!("placement/{pool}")
}
