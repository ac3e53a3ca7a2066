//! Simulation of a fleet with proxies, backends, the placement role and callers, in simulated time.

mod answers;
mod control;
mod dispatch;
pub mod event;
pub mod event_queue;
pub mod fleet_options;
pub mod host;
pub mod metrics;
pub mod policy;
pub mod proxy_node;
pub mod request;
pub mod simulation;
pub mod workload;

pub use fleet_options::{
    Fault, FaultKind, FleetOptions, HostOptions, PlacementOptions, RetryRules,
};
pub use metrics::FleetMetrics;
pub use policy::Policy;
pub use simulation::simulate;
pub use workload::{ModelLoad, RateChange, Workload};
