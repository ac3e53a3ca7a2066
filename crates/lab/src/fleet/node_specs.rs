//! Assigns names, zones and addresses to the control and proxy nodes of a site.

use std::net::SocketAddr;

use super::control_node::ControlNodeSpec;
use super::proxy_node::ProxyNodeSpec;
use super::site::SitePlan;

/// Returns one spec for each pair of `addresses`: the first is internal, the second for operators.
#[must_use]
pub fn control_node_specs(plan: &SitePlan, addresses: &[SocketAddr]) -> Vec<ControlNodeSpec> {
    let pairs = addresses.chunks_exact(2).enumerate();
    pairs
        .map(|(index, pair)| ControlNodeSpec {
            name: format!("control-{}", index + 1),
            zone: plan.zone(index),
            internal: pair[0],
            operator: pair[1],
        })
        .collect()
}

/// Returns the spec of the proxy node at `index` from three `addresses`: for its proxy, for the agent's
/// HTTP server, and for callers.
#[must_use]
pub fn proxy_node_spec(plan: &SitePlan, index: usize, addresses: &[SocketAddr]) -> ProxyNodeSpec {
    ProxyNodeSpec {
        name: format!("front-{}", index + 1),
        zone: plan.zone(index),
        local: addresses[0],
        agent_http: addresses[1],
        callers: addresses[2],
    }
}
