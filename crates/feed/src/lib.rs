//! Public state of the shards as a snapshot and a stream of changes from an offset.
//!
//! A [`FeedPublisher`] stands beside a replica and turns applied log entries into messages for its
//! subscribers. A [`FeedView`] takes these messages and never steps back.

pub mod change_ring;
pub mod delivery;
pub mod follower;
pub mod outcome;
pub mod position;
pub mod publisher;
mod state_snapshot;
pub mod term_history;
pub mod view;

pub use delivery::{FeedDelivery, SubscriberId};
pub use outcome::FeedOutcome;
pub use position::FeedPosition;
pub use publisher::FeedPublisher;
pub use view::FeedView;
