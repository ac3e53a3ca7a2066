//! Public state of the shards as a snapshot and a stream of changes from an offset.
//!
//! A [`FeedPublisher`] runs beside a replica and turns applied log entries into messages for its
//! subscribers. A [`FeedView`] applies these messages and never steps back.

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
