//! Rule RECOVER and processes that end by themselves.

use std::net::SocketAddr;

use super::{Rule, Violation};
use crate::bounds::RECOVERY;
use crate::history::{Ending, History, MachineEvent};

/// Share of the requests that must be served after the recovery, as a divisor.
const SERVED_DIVISOR: usize = 4;

/// Checks the service after the disruptions and the ends of processes.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = own_ends(history);
    found.extend(silent_control_machines(history));
    let fronts = history.requests.iter().map(|request| request.front).max();
    for front in 0..=fronts.unwrap_or(0) {
        found.extend(not_recovered(history, front));
    }
    found
}

/// Checks that no process ended by itself.
#[must_use]
pub fn own_ends(history: &History) -> Vec<Violation> {
    let events = history.machines.iter();
    let ends = events.filter(|(_, _, event)| *event == MachineEvent::EndedByItself);
    ends.map(|(at, machine, _)| Violation {
        rule: Rule::OwnEnd,
        at: *at,
        text: format!("a process of {machine:?} ended by itself"),
    })
    .collect()
}

/// Every control machine answers reads again, also one that was out of touch while all others were replaced.
fn silent_control_machines(history: &History) -> Vec<Violation> {
    let answers = |server: &SocketAddr| {
        let mut reads = history.reads.iter();
        reads.any(|read| read.server == *server && read.sent > history.calm_since)
    };
    let servers = history.control_servers.iter();
    servers
        .filter(|server| !answers(server))
        .map(|server| Violation {
            rule: Rule::Recover,
            at: history.calm_since,
            text: format!("the control machine at {server} answers no read"),
        })
        .collect()
}

fn not_recovered(history: &History, front: usize) -> Option<Violation> {
    let from = history.calm_since + RECOVERY;
    let requests = history.requests.iter();
    let late: Vec<_> = requests
        .filter(|request| request.front == front && request.sent > from)
        .collect();
    let served = late
        .iter()
        .filter(|request| request.ending == Ending::Answered(200))
        .count();
    (served * SERVED_DIVISOR < late.len()).then(|| Violation {
        rule: Rule::Recover,
        at: from,
        text: format!("front {front} served {served} of {} requests", late.len()),
    })
}
