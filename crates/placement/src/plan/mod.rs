//! Steps of a plan, in the order in which they run: [`retire`], [`scale`], [`weights`],
//! [`transition`].

pub mod declared_models;
pub mod draft;
pub mod moves;
pub mod pool_limits;
pub mod pool_view;
pub mod retire;
pub mod scale;
pub mod transition;
pub mod weights;

pub use declared_models::DeclaredModels;
pub use draft::{Draft, DraftReplica};
pub use moves::{Move, MoveReason, PlanOutcome};
pub use pool_limits::PoolLimits;
pub use pool_view::PoolView;
