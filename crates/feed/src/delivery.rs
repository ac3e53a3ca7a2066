//! Feed messages addressed to subscribers.

use millford_api::internal::FeedMessage;

/// Id that the owner of a publisher assigns to each subscriber, for instance the id of its link.
pub type SubscriberId = u64;

/// A message addressed to a subscriber.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedDelivery {
    /// Id of the receiving subscriber.
    pub subscriber: SubscriberId,
    /// The message to send.
    pub message: FeedMessage,
}
