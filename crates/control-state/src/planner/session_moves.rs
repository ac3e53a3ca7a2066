//! Session homes that a change moves, by the routing table that the proxies use.

use std::collections::BTreeMap;

use millford_api::config::Document;
use millford_api::operator::SessionMove;
use millford_api::state::StateValue;
use millford_routing::{ModelRequest, RouteEntry, RoutingTable, rendezvous};

use super::catalogue::PlanCatalogue;

/// A backend that may be the home of a route's sessions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Home {
    backend_id: String,
    weight_milli: u32,
}

/// From one backend to another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Move {
    from: String,
    to: String,
}

/// Sessions whose home changes, for each route that stands before and after.
pub(super) fn session_moves(
    before: &Document,
    after: &Document,
    catalogue: &PlanCatalogue,
    sessions: &[u64],
) -> Vec<SessionMove> {
    let old_items = catalogue.items(before);
    let new_items = catalogue.items(after);
    let old_table = table(&old_items);
    let new_table = table(&new_items);
    let mut moves = Vec::new();
    for route in new_table.routes().iter().filter(|route| !route.is_lookup()) {
        let old_route = old_table.routes().iter().find(|old| old.name == route.name);
        let Some(old_route) = old_route else {
            continue;
        };
        let old_homes = homes(&old_table, old_route);
        let new_homes = homes(&new_table, route);
        if old_homes != new_homes {
            moves.extend(moves_of(&route.name, &old_homes, &new_homes, sessions));
        }
    }
    moves.sort_by(|left, right| left.route.cmp(&right.route));
    moves
}

fn table(items: &BTreeMap<String, StateValue>) -> RoutingTable {
    RoutingTable::build(items.iter().map(|(key, value)| (key.as_str(), value)))
}

fn homes(table: &RoutingTable, route: &RouteEntry) -> Vec<Home> {
    let Some(pool) = table.pool(&route.pool) else {
        return Vec::new();
    };
    let desired = route.requirement(&ModelRequest::default());
    let candidates = pool.candidates(&desired).into_iter();
    let mut homes: Vec<Home> = candidates
        .map(|replica| Home {
            backend_id: replica.backend.id.clone(),
            weight_milli: replica.weight_milli,
        })
        .collect();
    homes.sort();
    homes
}

fn moves_of(
    route: &str,
    old_homes: &[Home],
    new_homes: &[Home],
    sessions: &[u64],
) -> Vec<SessionMove> {
    let mut counts: BTreeMap<Move, u64> = BTreeMap::new();
    for session in sessions {
        let from = home_of(*session, old_homes);
        let to = home_of(*session, new_homes);
        if from != to {
            *counts.entry(Move { from, to }).or_default() += 1;
        }
    }
    let sampled = sessions.len() as u64;
    let to_move = |(way, moved): (Move, u64)| SessionMove {
        route: route.to_owned(),
        from: way.from,
        to: way.to,
        moved,
        sampled,
    };
    counts.into_iter().map(to_move).collect()
}

/// The first home in rendezvous order; empty when no backend serves the route.
fn home_of(session: u64, homes: &[Home]) -> String {
    let score =
        |home: &Home| rendezvous::score(session, &home.backend_id, home.weight_milli.max(1));
    let best = homes
        .iter()
        .max_by(|left, right| score(left).total_cmp(&score(right)));
    best.map_or_else(String::new, |home| home.backend_id.clone())
}
