//! Rule LOST around planned work: a request that a machine has read gets a complete answer, also when the machine is
//! told to end.

use std::collections::HashMap;
use std::time::Duration;

use super::contact::Contact;
use super::{Rule, Violation};
use crate::bounds::{GRACE, LOSS_SLACK};
use crate::history::{Ending, History, MachineEvent, Request, Run};

/// Time after [`GRACE`] that still counts as planned work.
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// Time after SIGTERM until which a request may be sent that its backend works on for long.
const LONG_WORK_SENT: Duration = Duration::from_secs(3);

/// Checks every request whose connection ended before its answer was complete.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    let contact = Contact::new(history);
    let runs = history.runs.iter();
    let runs: HashMap<&str, &Run> = runs.map(|run| (run.request.as_str(), run)).collect();
    let broken = history
        .requests
        .iter()
        .filter(|request| request.ending == Ending::Broken);
    let lost =
        broken.filter(|request| is_lost(&contact, request, runs.get(request.id.as_str()).copied()));
    lost.map(|request| Violation {
        rule: Rule::Lost,
        at: request.sent,
        text: format!("front {} broke off {}", request.front, request.id),
    })
    .collect()
}

fn is_lost(contact: &Contact<'_>, request: &Request, run: Option<&Run>) -> bool {
    let Some(signal) = contact.last(request.front, MachineEvent::Terminated, request.ended) else {
        return false;
    };
    let planned = request.ended <= signal + GRACE + AFTER_GRACE;
    if !planned || contact.has_unplanned(request.front, request.sent, request.ended) {
        return false;
    }
    match run {
        None => request.ended > request.sent + LOSS_SLACK,
        Some(run) => !run.broke_off && !has_long_work(request, signal),
    }
}

/// Whether the backend was still at work in the second half of the grace period, on a request sent early enough.
fn has_long_work(request: &Request, signal: Duration) -> bool {
    request.sent <= signal + LONG_WORK_SENT && request.ended >= signal + GRACE / 2
}
