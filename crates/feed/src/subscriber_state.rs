//! State of one subscriber of a publisher.

use crate::position::FeedPosition;

/// Whether a subscriber currently receives changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubscriberState {
    /// The subscriber has applied a newer state, at this position, than this replica. Nothing may be sent
    /// yet.
    Ahead(FeedPosition),
    /// The subscriber was sent everything up to the publisher's position and receives further changes.
    Following,
}

impl SubscriberState {
    /// Returns the position of a subscriber that was ahead, if the publisher has reached it at `position`.
    pub(crate) fn reached(self, position: FeedPosition) -> Option<FeedPosition> {
        match self {
            SubscriberState::Ahead(from) if from <= position => Some(from),
            _ => None,
        }
    }
}
