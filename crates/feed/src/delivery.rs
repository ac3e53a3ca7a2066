//! A feed message for one subscriber.

use millford_api::internal::FeedMessage;

/// Number that the owner of a publisher gives to each subscriber, for instance its link.
pub type SubscriberId = u64;

/// A message and the subscriber that it is for.
#[derive(Clone, Debug, PartialEq)]
pub struct FeedDelivery {
    /// Who gets it.
    pub subscriber: SubscriberId,
    /// What to send.
    pub message: FeedMessage,
}
