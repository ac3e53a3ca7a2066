//! A tenant with a token quota.

use millford_api::config::{Tenant, TokenQuota};

/// Returns a tenant called `tenant` with this quota.
pub(crate) fn tenant(quota: TokenQuota) -> Tenant {
    Tenant {
        name: "tenant".to_owned(),
        token_quota: Some(quota),
        ..Tenant::default()
    }
}
