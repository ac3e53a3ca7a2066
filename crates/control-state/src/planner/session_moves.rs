//! Sessions whose home backend changes, according to the routing table that the proxies use.

use std::collections::BTreeMap;

use millford_api::config::Document;
use millford_api::operator::SessionMove;
use millford_api::state::StateValue;
use millford_routing::{ModelRequest, RouteEntry, RoutingTable, rendezvous};

use super::catalogue::PlanCatalogue;

/// Backend that may be the home of a route's sessions, with its weight in rendezvous hashing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SessionHome {
    backend_id: String,
    weight_milli: u32,
}

/// Move of a home from one backend to another; an empty id means no backend.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HomeChange {
    from: String,
    to: String,
}

/// Counts the sessions whose home changes, for each route that exists before and after the change.
pub(super) fn session_moves(
    before: &Document,
    after: &Document,
    catalogue: &PlanCatalogue,
    sessions: &[u64],
) -> Vec<SessionMove> {
    let old_items = catalogue.items(before);
    let new_items = catalogue.items(after);
    let old_table = routing_table(&old_items);
    let new_table = routing_table(&new_items);
    let mut moves = Vec::new();
    for route in new_table.routes().iter().filter(|route| !route.is_lookup()) {
        let old_route = old_table.routes().iter().find(|old| old.name == route.name);
        let Some(old_route) = old_route else {
            continue;
        };
        let old_homes = session_homes(&old_table, old_route);
        let new_homes = session_homes(&new_table, route);
        if old_homes != new_homes {
            moves.extend(moves_between(&route.name, &old_homes, &new_homes, sessions));
        }
    }
    moves.sort_by(|left, right| left.route.cmp(&right.route));
    moves
}

fn routing_table(items: &BTreeMap<String, StateValue>) -> RoutingTable {
    RoutingTable::build(items.iter().map(|(key, value)| (key.as_str(), value)))
}

fn session_homes(table: &RoutingTable, route: &RouteEntry) -> Vec<SessionHome> {
    let Some(pool) = table.pool(&route.pool) else {
        return Vec::new();
    };
    let requirement = route.requirement(&ModelRequest::default());
    let candidates = pool.candidates(&requirement).into_iter();
    let mut homes: Vec<SessionHome> = candidates
        .map(|replica| SessionHome {
            backend_id: replica.backend.id.clone(),
            weight_milli: replica.weight_milli,
        })
        .collect();
    homes.sort();
    homes
}

fn moves_between(
    route: &str,
    old_homes: &[SessionHome],
    new_homes: &[SessionHome],
    sessions: &[u64],
) -> Vec<SessionMove> {
    let mut counts: BTreeMap<HomeChange, u64> = BTreeMap::new();
    for session in sessions {
        let from = best_home(*session, old_homes);
        let to = best_home(*session, new_homes);
        if from != to {
            *counts.entry(HomeChange { from, to }).or_default() += 1;
        }
    }
    let sampled = sessions.len() as u64;
    counts
        .into_iter()
        .map(|(change, moved)| SessionMove {
            route: route.to_owned(),
            from: change.from,
            to: change.to,
            moved,
            sampled,
        })
        .collect()
}

/// Returns the id of the backend with the highest rendezvous score; empty when no backend serves
/// the route.
fn best_home(session: u64, homes: &[SessionHome]) -> String {
    let score =
        |home: &SessionHome| rendezvous::score(session, &home.backend_id, home.weight_milli.max(1));
    let best = homes
        .iter()
        .max_by(|left, right| score(left).total_cmp(&score(right)));
    best.map_or_else(String::new, |home| home.backend_id.clone())
}
