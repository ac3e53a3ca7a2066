//! What a publisher knows about one subscriber.

use crate::position::FeedPosition;

/// Whether a subscriber gets the changes as they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Follower {
    /// It has shown a newer state than this replica has applied: nothing may be sent yet.
    Waiting(FeedPosition),
    /// It has been sent everything up to the publisher's position.
    Following,
}

impl Follower {
    /// The position it waits for, if the publisher at `position` has now reached it.
    #[must_use]
    pub fn reached(self, position: FeedPosition) -> Option<FeedPosition> {
        match self {
            Follower::Waiting(from) if from <= position => Some(from),
            _ => None,
        }
    }
}
