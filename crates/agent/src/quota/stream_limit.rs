//! Limitation of a tenant's concurrent streams.

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
    /// Derives the limit from a quota, in which `concurrent_streams` 0 means unlimited.
    #[must_use]
    pub fn of(quota: &Quota) -> Self {
        if quota.concurrent_streams > 0 {
            Self::Limited
        } else {
            Self::Unlimited
        }
    }

    /// Returns whether a request needs a stream slot. `is_stream` is whether it opens a stream.
    pub(crate) fn needs_slot(self, is_stream: bool) -> bool {
        is_stream && self == Self::Limited
    }
}
