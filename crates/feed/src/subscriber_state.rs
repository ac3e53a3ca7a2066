//! What a publisher knows about one subscriber.

use crate::position::FeedPosition;

/// Whether a subscriber gets the changes as they are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubscriberState {
    /// It has applied a newer state than this replica: nothing may be sent yet.
    Ahead(FeedPosition),
    /// It has been sent everything up to the publisher's position.
    Following,
}

impl SubscriberState {
    /// The position it is at, if the publisher at `position` has now reached it.
    pub(crate) fn reached(self, position: FeedPosition) -> Option<FeedPosition> {
        match self {
            SubscriberState::Ahead(from) if from <= position => Some(from),
            _ => None,
        }
    }
}
