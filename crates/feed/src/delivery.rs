//! A feed message for one subscriber.

use millford_api::internal::FeedMessage;

/// Number that the owner of a publisher assigns to each subscriber, for instance its link.
pub type SubscriberId = u64;

/// A message and the subscriber that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedDelivery {
    /// The receiver.
    pub subscriber: SubscriberId,
    /// The message to send.
    pub message: FeedMessage,
}
