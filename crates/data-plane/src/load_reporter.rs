//! Reports the work in flight to the agent several times a second.

use std::sync::Arc;

use millford_api::local::local_frame;
use millford_core::Duration;

use crate::agent_link::AgentLink;
use crate::proxy_state::ProxyState;

/// Time between two reports. They carry only what changed; the choice among backends lives on
/// recent counts.
pub const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Reports for as long as the process lives; never returns.
pub async fn run(state: Arc<ProxyState>, agent: AgentLink) {
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        for report in state.load_table.take_reports() {
            agent.send(local_frame::Body::LoadReport(report));
        }
    }
}
