//! Placement of model replicas by the work in flight: cost model, load snapshot, placement plans.
//!
//! [`Placer`] plans the placement of one pool. The leader of the shard that owns the pool's service
//! calls it and publishes the placements, fenced by an epoch. The crate does no input or output and
//! reads no clock.

pub mod cost;
pub mod load;
pub mod options;
pub mod placer;
pub mod plan;
pub mod replica_key;
pub mod version;

pub use cost::{BandwidthAttribution, CostModel, LineFit, ModelCost};
pub use load::{LoadSnapshot, ReplicaWork};
pub use options::PlacerOptions;
pub use placer::Placer;
pub use plan::{Move, MoveReason, PlanOutcome};
pub use replica_key::ReplicaKey;
