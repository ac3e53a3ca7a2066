//! Test harness: the real processes of a run, their configuration and a stub of the service registry.

pub mod agent_process;
pub mod child;
pub mod control_cluster;
pub mod document;
pub mod operator_client;
pub mod ports;
pub mod registry_stub;

pub use child::Child;
pub use control_cluster::ControlCluster;
pub use operator_client::OperatorClient;
