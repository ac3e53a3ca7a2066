//! The steps of a plan, in the order in which they run.

pub mod bandwidth;
pub mod draft;
pub mod moves;
pub mod pool_limits;
pub mod pool_view;
pub mod retire;
pub mod scale;
pub mod transition;

pub use draft::{Draft, DraftReplica};
pub use moves::{Move, MoveReason, PlanOutcome};
pub use pool_limits::PoolLimits;
pub use pool_view::PoolView;
