//! Pure routing decisions: matching, affinity, choice of a backend, admission, retry budget.
//!
//! This crate reads no clock and no socket: callers pass the time as
//! [`millford_core::MonotonicTime`], and random numbers as arguments.

pub mod admission;
pub mod backend_health;
pub mod choice;
pub mod cost_estimates;
pub mod fair_queue;
pub mod forward_table;
pub mod in_flight_guard;
pub mod linear_fit;
pub mod load_table;
mod lock;
pub mod model_request;
pub mod prefix;
pub mod prefix_index;
pub mod rendezvous;
pub mod replica_key;
pub mod replica_load;
pub mod retry_budget;
pub mod route_entry;
pub mod routing_table;
pub mod running_mean;
pub mod serving_pool;

pub use admission::AdmissionEstimate;
pub use backend_health::{BackendHealth, EjectionReason};
pub use choice::{Affinity, Candidate, Choice, choose};
pub use cost_estimates::CostEstimates;
pub use fair_queue::{FairQueue, FairQueues, QueueKey};
pub use forward_table::ForwardTable;
pub use in_flight_guard::InFlightGuard;
pub use load_table::LoadTable;
pub use model_request::ModelRequest;
pub use prefix_index::{CachedBlock, PrefixBlock, PrefixIndex};
pub use replica_key::ReplicaKey;
pub use replica_load::ReplicaCounts;
pub use retry_budget::RetryBudget;
pub use route_entry::RouteEntry;
pub use routing_table::RoutingTable;
pub use serving_pool::{ServingPool, ServingReplica};
