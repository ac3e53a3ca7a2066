//! What a feed message did to a view.

use millford_api::state::StateItem;

/// Result of applying one feed message.
#[derive(Clone, Debug, PartialEq)]
pub enum FeedOutcome {
    /// The message was taken and these items differ from before; an absent value is a deletion.
    Changed(Vec<StateItem>),
    /// The message was taken and confirms the state as it was.
    Unchanged,
    /// A message before this one is missing: subscribe again from the view's position.
    Resubscribe,
    /// The sender is older than the view, or says itself that it is out of touch. Nothing was taken.
    Stale,
}
