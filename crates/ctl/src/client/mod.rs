//! Requests to the control nodes, tried in turn.

mod attempt;
mod control_client;

pub use attempt::Attempt;
pub use control_client::{ControlClient, Request};
