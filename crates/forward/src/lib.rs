//! Forwards opaque HTTP requests and event streams to backends, routed by host and path prefix.

pub mod backend;
pub mod daemon;
pub mod exchange;
pub mod graceful_shutdown;
pub mod header_values;
pub mod load;
mod lock;
pub mod mechanism;
pub mod millford_protocol;
pub mod node;
pub mod owners;
pub mod prefix_index;
pub mod protocol;
pub mod quota;
pub mod request;
pub mod settings;

pub use daemon::run;
pub use graceful_shutdown::GracefulShutdown;
pub use mechanism::{Mechanism, Mechanisms};
pub use millford_protocol::MillfordProtocol;
pub use node::ForwardNode;
pub use protocol::{Dispatch, ForwardProtocol, RequestFacts, ResponseFacts};
pub use settings::ForwardSettings;
