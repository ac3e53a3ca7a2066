//! Forwarding of opaque HTTP requests and event streams by host and path prefix.

pub mod backend;
pub mod daemon;
pub mod exchange;
pub mod leaving;
pub mod load;
pub mod mechanism;
pub mod node;
pub mod own_protocol;
pub mod owners;
pub mod parts;
pub mod protocol;
pub mod quota;
pub mod request;
pub mod settings;

pub use daemon::run;
pub use leaving::Leaving;
pub use mechanism::{Mechanism, Mechanisms};
pub use node::ForwardNode;
pub use own_protocol::MillfordProtocol;
pub use protocol::{AnswerFacts, Dispatch, ForwardProtocol, RequestFacts};
pub use settings::ForwardSettings;
