//! The real processes of a run, and the stand-in of the registry.

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
