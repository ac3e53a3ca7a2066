//! Periodic reports of the work in flight to the agent.

use std::sync::Arc;

use millford_api::local::local_frame;
use millford_core::Duration;

use crate::agent_link::AgentLink;
use crate::proxy_state::ProxyState;

/// Interval between reports. It is short because the choice of a backend depends on recent counts;
/// reports contain only what changed.
pub const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Sends reports until the process exits; never returns.
pub async fn run(state: Arc<ProxyState>, agent: AgentLink) {
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        for report in state.load_table.take_reports() {
            agent.send(local_frame::Body::LoadReport(report));
        }
    }
}
