//! Work in flight of all nodes, per replica.

pub mod load_snapshot;
pub mod replica_work;
pub mod smoothed_load;

pub use load_snapshot::LoadSnapshot;
pub use replica_work::ReplicaWork;
pub use smoothed_load::{SmoothedLoad, SmoothedWork};
