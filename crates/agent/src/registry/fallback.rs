//! When the agent reads the service registry itself, and what it makes of it.

use millford_api::state::StateValue;
use millford_core::MonotonicTime;

use crate::registry::backoff::RegistryBackoff;
use crate::registry::confirmation::Confirmation;
use crate::registry::overlay::RegistryOverlay;
use crate::registry::view::RegistryView;
use crate::timing::{REGISTRY_FALLBACK_DELAY, REGISTRY_OVERLAY_RETENTION};

/// Reads of the registry while the control plane does not confirm every shard.
///
/// The agent is then disconnected, or a shard has no reachable leader and nobody retires that
/// shard's backends. Once the control plane has had time to read the registry again, what the agent
/// read is dropped.
#[derive(Clone, Debug)]
pub struct RegistryFallback {
    overlay: RegistryOverlay,
    backoff: RegistryBackoff,
    confirmation: Confirmation,
}

/// What the fallback needs done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FallbackAction {
    /// Read the registry.
    Read,
    /// These keys are no longer overlaid.
    Withdraw(Vec<String>),
}

impl RegistryFallback {
    /// Nothing is confirmed and nothing was read yet.
    #[must_use]
    pub fn new(member: &str, now: MonotonicTime) -> Self {
        Self {
            overlay: RegistryOverlay::default(),
            backoff: RegistryBackoff::new(member, now),
            confirmation: Confirmation::unconfirmed(now),
        }
    }

    /// Backend states that the registry retires beyond the feed.
    #[must_use]
    pub fn overlay(&self) -> &RegistryOverlay {
        &self.overlay
    }

    /// Takes whether every shard is confirmed now, and returns what is due. `knows_backends`: the
    /// feed has named any; without them there is nothing that a registry could retire.
    pub fn advance(
        &mut self,
        now: MonotonicTime,
        is_confirmed: bool,
        knows_backends: impl FnOnce() -> bool,
    ) -> Option<FallbackAction> {
        self.confirmation.record(now, is_confirmed);
        if let Some(unconfirmed) = self.confirmation.unconfirmed_for(now) {
            let is_due = unconfirmed >= REGISTRY_FALLBACK_DELAY && self.backoff.is_due(now);
            if is_due && knows_backends() {
                self.backoff.record_started(now);
                return Some(FallbackAction::Read);
            }
            return None;
        }
        let is_stable = self.confirmation.confirmed_for(now) >= Some(REGISTRY_OVERLAY_RETENTION);
        let withdraw = is_stable && !self.overlay.is_empty();
        withdraw.then(|| FallbackAction::Withdraw(self.overlay.clear()))
    }

    /// Takes the registry's list over the feed's `items`; returns the keys whose overlay changed.
    /// None when every shard is confirmed again: the list came too late.
    pub fn take_view<'a>(
        &mut self,
        now: MonotonicTime,
        items: impl Iterator<Item = (&'a String, &'a StateValue)>,
        view: &RegistryView,
    ) -> Option<Vec<String>> {
        self.confirmation.unconfirmed_for(now)?;
        self.backoff.record_success(now);
        Some(self.overlay.update(items, view))
    }

    /// The registry refused, or did not answer.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.backoff.record_failure(now);
    }
}
