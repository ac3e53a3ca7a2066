//! Limits of the operators' document.

use std::ops::RangeInclusive;

/// Most routes.
pub const MAX_ROUTES: usize = 1_000;
/// Most forwarding routes.
pub const MAX_FORWARD_ROUTES: usize = 20_000;
/// Most weighted pools of one forwarding route.
pub const MAX_POOLS_PER_ROUTE: usize = 32;
/// Most pools.
pub const MAX_POOLS: usize = 500;
/// Most tenants; three times the planned 16,000.
pub const MAX_TENANTS: usize = 50_000;
/// Most valid keys of one tenant.
pub const MAX_KEYS_PER_TENANT: usize = 16;
/// Most adapters of one selector.
pub const MAX_ADAPTERS: usize = 64;
/// Longest name of a route, pool or tenant, in characters.
pub const MAX_NAME_LENGTH: usize = 64;
/// Longest model, version, stage or adapter, in bytes.
pub const MAX_LABEL_LENGTH: usize = 128;
/// Longest path prefix, in bytes.
pub const MAX_PATH_LENGTH: usize = 256;
/// Longest order id, in bytes.
pub const MAX_ORDER_ID_LENGTH: usize = 128;
/// Deadline of a route, in milliseconds.
pub const DEADLINE_MS: RangeInclusive<u32> = 100..=3_600_000;
/// Time without a response before a hedged request, in milliseconds.
pub const HEDGE_DELAY_MS: RangeInclusive<u32> = 10..=60_000;
/// Time to drain, in milliseconds.
pub const DRAIN_MS: RangeInclusive<u32> = 0..=60_000;
/// Longest deferral of a transition, in milliseconds; 0 means the default.
pub const LONGEST_DEFERRAL_MS: RangeInclusive<u32> = 0..=86_400_000;
/// A percentage where 0 means the default.
pub const PERCENT: RangeInclusive<u32> = 0..=100;
/// Requests a second of a quota.
pub const REQUESTS_PER_SECOND: RangeInclusive<u32> = 1..=1_000_000;
/// Burst of a quota, in requests.
pub const BURST: RangeInclusive<u32> = 1..=1_000_000;
/// Streams open at once; 0 means no limit.
pub const CONCURRENT_STREAMS: RangeInclusive<u32> = 0..=1_000_000;
/// Paths that the proxy itself serves; a lookup route under one would never be reached.
pub const RESERVED_PATHS: [&str; 4] = ["/v1/chat/completions", "/healthz", "/readyz", "/metrics"];
