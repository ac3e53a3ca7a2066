//! Names, zones and addresses of the machines of a site.

use std::net::SocketAddr;

use super::control_machine::ControlPlace;
use super::front_machine::FrontPlace;
use super::site::SitePlan;

/// Places of the control nodes, from two addresses each.
#[must_use]
pub fn control_places(plan: &SitePlan, addresses: &[SocketAddr]) -> Vec<ControlPlace> {
    let pairs = addresses.chunks_exact(2).enumerate();
    pairs
        .map(|(index, pair)| ControlPlace {
            name: format!("control-{}", index + 1),
            zone: plan.zone(index),
            internal: pair[0],
            operator: pair[1],
        })
        .collect()
}

/// Place of one front machine, from three addresses.
#[must_use]
pub fn front_place(plan: &SitePlan, index: usize, addresses: &[SocketAddr]) -> FrontPlace {
    FrontPlace {
        name: format!("front-{}", index + 1),
        zone: plan.zone(index),
        local: addresses[0],
        agent_http: addresses[1],
        callers: addresses[2],
    }
}
