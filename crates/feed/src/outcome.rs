//! Result of applying a feed message to a view.

use millford_api::state::StateItem;

/// Result of applying one feed message.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedOutcome {
    /// The message was applied and changed these items. An item without a value was deleted.
    Changed(Vec<StateItem>),
    /// The message was applied and changed no item.
    Unchanged,
    /// An earlier message is missing. Nothing was applied; subscribe again from the view's position.
    Resubscribe,
    /// The sender's state is older than the view, or the sender reports that it lost its quorum. Nothing
    /// was applied.
    Stale,
}

impl FeedOutcome {
    /// Creates the outcome of an applied message that changed these items, if any.
    pub(crate) fn from_changed(changed: Vec<StateItem>) -> Self {
        if changed.is_empty() {
            Self::Unchanged
        } else {
            Self::Changed(changed)
        }
    }
}
