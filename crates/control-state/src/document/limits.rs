//! Limits of the operators' document.

use std::ops::RangeInclusive;

/// Most routes of a document.
pub const MAX_ROUTES: usize = 1_000;
/// Most forwarding routes of a document.
pub const MAX_FORWARD_ROUTES: usize = 20_000;
/// Most weighted pools of one forwarding route.
pub const MAX_POOLS_PER_ROUTE: usize = 32;
/// Most pools of a document.
pub const MAX_POOLS: usize = 500;
/// Most tenants of a document: about three times the planned 16,000.
pub const MAX_TENANTS: usize = 50_000;
/// Most valid keys of one tenant.
pub const MAX_KEYS_PER_TENANT: usize = 16;
/// Most adapters of one selector.
pub const MAX_ADAPTERS: usize = 64;
/// Longest name of a route, forwarding route, pool or tenant, in characters, which are all ASCII.
pub const MAX_NAME_LENGTH: usize = 64;
/// Longest model, version, stage or adapter, in bytes.
pub const MAX_LABEL_LENGTH: usize = 128;
/// Longest path prefix, in bytes.
pub const MAX_PATH_LENGTH: usize = 256;
/// Longest order id, in bytes.
pub const MAX_ORDER_ID_LENGTH: usize = 128;
/// Allowed deadlines of a route, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u32> = 100..=3_600_000;
/// Allowed times without a response after which a request is hedged, in milliseconds.
pub const HEDGE_DELAY_MS: RangeInclusive<u32> = 10..=60_000;
/// Allowed drain times of a pool, in milliseconds.
pub const DRAIN_MS: RangeInclusive<u32> = 0..=60_000;
/// Allowed longest deferrals of a pool's transition, in milliseconds; 0 means the default.
pub const LONGEST_DEFERRAL_MS: RangeInclusive<u32> = 0..=86_400_000;
/// Allowed values of a pool's percentage fields; 0 means the default.
pub const PERCENT: RangeInclusive<u32> = 0..=100;
/// Allowed rates of a quota, in requests a second.
pub const REQUESTS_PER_SECOND: RangeInclusive<u32> = 1..=1_000_000;
/// Allowed bursts of a quota, in requests.
pub const BURST: RangeInclusive<u32> = 1..=1_000_000;
/// Allowed limits of a tenant's concurrent streams; 0 means no limit.
pub const CONCURRENT_STREAMS: RangeInclusive<u32> = 0..=1_000_000;
/// Paths that the proxy itself serves. A lookup route with one of them as its prefix would never be
/// reached.
pub const RESERVED_PATHS: [&str; 4] = ["/v1/chat/completions", "/healthz", "/readyz", "/metrics"];
