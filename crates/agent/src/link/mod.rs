//! Connection to the control plane through one control node, and selection of that node.

pub mod control_link;
pub mod endpoint_list;

pub use control_link::{ControlLink, LinkAction};
pub use endpoint_list::EndpointList;
