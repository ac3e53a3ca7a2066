//! Rule DRAIN: a backend that the list shows as draining gets no more requests from machines in touch.

use std::collections::HashMap;

use super::contact::Contact;
use super::{Rule, Violation};
use crate::bounds::DRAIN;
use crate::history::{History, Moment, Request};

/// Checks every run on a backend that was drained.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    let contact = Contact::new(history);
    let drains = history.drains.iter();
    let drains: HashMap<&str, Moment> = drains
        .map(|drain| (drain.backend.as_str(), drain.since))
        .collect();
    let requests = history.requests.iter();
    let requests: HashMap<&str, &Request> = requests
        .map(|request| (request.id.as_str(), request))
        .collect();
    let mut found = Vec::new();
    for run in &history.runs {
        let Some(since) = drains.get(run.backend.as_str()) else {
            continue;
        };
        let Some(request) = requests.get(run.request.as_str()) else {
            continue;
        };
        let late = run.at > *since + DRAIN && request.sent > *since;
        // While the control machines are not stable the time still runs, and binds a machine that is undisturbed.
        if late && contact.undisturbed(request.front, *since + DRAIN, run.at) {
            let text = format!(
                "front {} sent {} to {}, which has been draining for {} ms",
                request.front,
                run.request,
                run.backend,
                run.at.saturating_sub(*since).as_millis(),
            );
            found.push(Violation {
                rule: Rule::Drain,
                at: run.at,
                text,
            });
        }
    }
    found
}
