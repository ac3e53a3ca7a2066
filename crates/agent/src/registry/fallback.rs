//! Fallback to reading the service registry directly.

use millford_api::state::StateValue;
use millford_core::MonotonicTime;

use crate::registry::backoff::RegistryBackoff;
use crate::registry::confirmation::Confirmation;
use crate::registry::overlay::RegistryOverlay;
use crate::registry::view::RegistryView;
use crate::timing::{REGISTRY_FALLBACK_DELAY, REGISTRY_OVERLAY_RETENTION};

/// Reads the service registry while the control plane does not confirm every shard.
///
/// In that state the agent is disconnected, or a shard has no reachable leader and the control
/// plane does not retire that shard's backends. The overlay is discarded once the control plane has
/// had time to read the registry again.
#[derive(Clone, Debug)]
pub struct RegistryFallback {
    overlay: RegistryOverlay,
    backoff: RegistryBackoff,
    confirmation: Confirmation,
}

/// Action that the owner of the fallback has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FallbackAction {
    /// Read the service registry.
    Read,
    /// Send the proxy the items with these keys, which are no longer in the overlay.
    Withdraw(Vec<String>),
}

impl RegistryFallback {
    /// Creates the fallback of the node `member`, with no shard confirmed and an empty overlay.
    #[must_use]
    pub fn new(member: &str, now: MonotonicTime) -> Self {
        Self {
            overlay: RegistryOverlay::default(),
            backoff: RegistryBackoff::new(member, now),
            confirmation: Confirmation::unconfirmed(now),
        }
    }

    /// Returns the backend states that override those of the feed.
    #[must_use]
    pub fn overlay(&self) -> &RegistryOverlay {
        &self.overlay
    }

    /// Records whether every shard is confirmed now, and returns the action that is due.
    /// `has_backends` returns whether the feed contains any backend; without one there is nothing
    /// that the registry could retire.
    pub fn advance(
        &mut self,
        now: MonotonicTime,
        is_confirmed: bool,
        has_backends: impl FnOnce() -> bool,
    ) -> Option<FallbackAction> {
        self.confirmation.record(now, is_confirmed);
        if let Some(unconfirmed) = self.confirmation.unconfirmed_for(now) {
            let is_due = unconfirmed >= REGISTRY_FALLBACK_DELAY && self.backoff.is_due(now);
            if is_due && has_backends() {
                self.backoff.record_started(now);
                return Some(FallbackAction::Read);
            }
            return None;
        }
        let is_stable = self.confirmation.confirmed_for(now) >= Some(REGISTRY_OVERLAY_RETENTION);
        let withdraw = is_stable && !self.overlay.is_empty();
        withdraw.then(|| FallbackAction::Withdraw(self.overlay.clear()))
    }

    /// Updates the overlay from the registry's list for the feed's `items`. Returns the keys whose
    /// overlay changed, or `None` if every shard is confirmed again and the list is ignored.
    pub fn apply_view<'a>(
        &mut self,
        now: MonotonicTime,
        items: impl Iterator<Item = (&'a String, &'a StateValue)>,
        view: &RegistryView,
    ) -> Option<Vec<String>> {
        self.confirmation.unconfirmed_for(now)?;
        self.backoff.record_success(now);
        Some(self.overlay.update(items, view))
    }

    /// Records a read of the registry that failed or timed out.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.backoff.record_failure(now);
    }
}
