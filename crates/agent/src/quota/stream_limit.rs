//! Whether a tenant's streams need slots.

use millford_api::config::Quota;

/// Whether a tenant's concurrent streams are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamLimit {
    /// Each stream needs a slot.
    Limited,
    /// Streams need no slots.
    Unlimited,
}

impl StreamLimit {
    /// What a quota says.
    #[must_use]
    pub fn of(quota: &Quota) -> Self {
        if quota.concurrent_streams > 0 {
            Self::Limited
        } else {
            Self::Unlimited
        }
    }

    /// Whether a request needs a stream slot. `is_stream`: it opens a stream.
    pub(crate) fn needs_slot(self, is_stream: bool) -> bool {
        is_stream && self == Self::Limited
    }
}
