//! Keys of the public state's items.

/// Key of the revision and digest of the current configuration.
pub const CONFIG_HEAD: &str = "config/head";
/// Key of the HTTP limits that apply to callers' connections.
pub const HTTP_LIMITS: &str = "config/limits";
/// Key of the item that is present if the configuration lists tenants, but none.
pub const EMPTY_TENANT_LIST: &str = "config/empty-tenant-list";
/// Prefix of all configuration keys.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the control members' keys.
pub const CONTROL_PREFIX: &str = "control/";
/// Prefix of the backends' keys.
pub const BACKEND_PREFIX: &str = "backend/";
/// Prefix of the placements' keys.
pub const PLACEMENT_PREFIX: &str = "placement/";

/// Returns the key of the route with this name.
#[must_use]
pub fn route(name: &str) -> String {
    format!("config/route/{name}")
}

/// Returns the key of the forwarding route with this name.
#[must_use]
pub fn forward_route(name: &str) -> String {
    format!("config/forward/{name}")
}

/// Returns the key of the address at which a member's proxy receives messages from other proxies.
#[must_use]
pub fn proxy_member(member: &str) -> String {
    format!("proxy/{member}")
}

/// Returns the key of the pool with this name.
#[must_use]
pub fn pool(name: &str) -> String {
    format!("config/pool/{name}")
}

/// Returns the key of the tenant with this name.
#[must_use]
pub fn tenant(name: &str) -> String {
    format!("config/tenant/{name}")
}

/// Returns the key of a control member. The id is written in hexadecimal, as in logs.
#[must_use]
pub fn control_member(node_id: u64) -> String {
    format!("control/{node_id:016x}")
}

/// Returns the prefix of the keys of one service's backends.
#[must_use]
pub fn service_backends(service: &str) -> String {
    format!("backend/{service}/")
}

/// Returns the key of one backend of a service.
#[must_use]
pub fn backend(service: &str, backend_id: &str) -> String {
    format!("backend/{service}/{backend_id}")
}

/// Returns the key of a pool's placement.
#[must_use]
pub fn placement(pool: &str) -> String {
    format!("placement/{pool}")
}
