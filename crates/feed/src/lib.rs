//! Feed of a shard's public state: a snapshot, or the changes after an offset.
//!
//! A [`FeedPublisher`] belongs to a replica and turns applied log entries into messages for its
//! subscribers. A [`FeedView`] applies these messages and never reverts to an older state.

mod change_ring;
mod delivery;
mod outcome;
mod position;
mod publisher;
mod shard_state;
mod subscriber_state;
mod term_history;
mod view;

pub use delivery::{FeedDelivery, SubscriberId};
pub use outcome::FeedOutcome;
pub use position::FeedPosition;
pub use publisher::FeedPublisher;
pub use view::FeedView;
