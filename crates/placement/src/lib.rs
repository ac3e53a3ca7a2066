//! Placement of model replicas from the work in flight: cost model, load snapshot, transition gate.
//!
//! [`Placer`] is the placement role of one pool. It is called by the leader of the shard that owns
//! the pool's service, which fences what it publishes by an epoch. All of it is pure.

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
