//! What the metrics say while the agent is gone.

use std::sync::Arc;

use millford_api::local::{AgentStatus, LocalFrame, local_frame};
use millford_data_plane::frame_handler::FrameHandler;
use millford_data_plane::limits::RequestLimits;
use millford_data_plane::proxy_state::ProxyState;

#[test]
fn a_proxy_without_its_agent_reports_that_it_is_not_connected() {
    let state = Arc::new(ProxyState::new(RequestLimits::default()));
    let mut handler = FrameHandler::new(Arc::clone(&state));
    handler.handle(LocalFrame {
        body: Some(local_frame::Body::Status(AgentStatus {
            connected: true,
            session_epoch: 1,
            data_shards: 2,
            complete: true,
        })),
    });
    assert_eq!(state.metrics.agent_connected.get(), 1);
    let revision = handler.agent_lost();
    assert_eq!(revision, 0, "no configuration was applied");
    assert_eq!(state.metrics.agent_connected.get(), 0);
}
