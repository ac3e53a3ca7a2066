//! What a feed message did to a view.

use millford_api::state::StateItem;

/// Result of applying one feed message.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedOutcome {
    /// The message was applied and these items differ from before; an absent value is a deletion.
    Changed(Vec<StateItem>),
    /// The message was applied and confirms the state as it was.
    Unchanged,
    /// A message before this one is missing: subscribe again from the view's position.
    Resubscribe,
    /// The sender is older than the view, or reports itself that it lost its quorum. Nothing was
    /// applied.
    Stale,
}

impl FeedOutcome {
    /// The outcome of an applied message that changed these items.
    pub(crate) fn from_changed(changed: Vec<StateItem>) -> Self {
        if changed.is_empty() {
            Self::Unchanged
        } else {
            Self::Changed(changed)
        }
    }
}
