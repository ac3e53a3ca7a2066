//! Names, zones and addresses of the machines of a site.

use std::net::SocketAddr;

use super::control_node::ControlNodeSpec;
use super::proxy_node::ProxyNodeSpec;
use super::site::SitePlan;

/// Places of the control nodes, from two addresses each.
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

/// Name, zone and addresses of one proxy node, from three addresses.
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
