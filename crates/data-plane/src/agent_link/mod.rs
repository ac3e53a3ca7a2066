//! Link to the agent on the proxy's node: the requests to the agent, and the connection that transports
//! them.

mod granted_streams;
mod in_flight;
mod link;
pub mod send_times;
mod task;

use std::net::SocketAddr;
use std::sync::Arc;

use millford_api::local::ProxyHello;
use millford_transport::FrameLimits;
use tokio::sync::mpsc;

pub use crate::agent_link::link::AgentLink;
pub use crate::agent_link::task::AgentLinkTask;
use crate::frame_handler::FrameHandler;
use crate::proxy_state::ProxyState;

/// Creates both sides of the link: a handle for the request path, and the task that the control thread
/// runs. `limits` are those of frames from the agent.
#[must_use]
pub fn agent_link(
    state: Arc<ProxyState>,
    address: SocketAddr,
    hello: ProxyHello,
    limits: FrameLimits,
) -> (AgentLink, AgentLinkTask) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let link = AgentLink::new(sender);
    let handler = FrameHandler::new(state);
    let task = AgentLinkTask::new(link.clone(), receiver, handler, address, hello, limits);
    (link, task)
}
