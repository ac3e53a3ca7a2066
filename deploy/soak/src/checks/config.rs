//! Rule CONFIG: requests are decided by a configuration that is in force, and none comes back older.

use std::collections::BTreeMap;

use super::contact::Contact;
use super::{Rule, Violation};
use crate::bounds::{CONFIG_APPLY, DOWNGRADE_SLACK, STRETCH_MAX};
use crate::configuration::Generation;
use crate::history::{Ending, History, Moment, Order, OrderState, Request, Target};

/// Checks every request whose answer tells which configurations can have decided it.
#[must_use]
pub fn check(history: &History) -> Vec<Violation> {
    let contact = Contact::new(history);
    let mut shown = ShownGenerations::default();
    let mut found = Vec::new();
    let mut requests: Vec<&Request> = history.requests.iter().collect();
    requests.sort_by_key(|request| request.sent);
    let mut by_end = requests.clone();
    by_end.sort_by_key(|request| request.ended);
    let mut ended = by_end.into_iter().peekable();
    for request in requests {
        while let Some(earlier) =
            ended.next_if(|earlier| earlier.ended + DOWNGRADE_SLACK < request.sent)
        {
            shown.record(&contact, earlier);
        }
        let Some(decision) = Decision::of(request) else {
            continue;
        };
        let in_force = in_force(history, &contact, request);
        found.extend(outdated(history, &decision, request, in_force));
        let shown = shown.newest(&contact, request);
        found.extend(regressed(history, &decision, request, shown));
    }
    found
}

/// What the answer to a probe tells about the configuration that decided it.
#[derive(Clone, Copy, Debug)]
struct Decision {
    target: Target,
    outcome: Outcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Run,
    UnknownRoute,
    UnknownKey,
}

impl Decision {
    fn of(request: &Request) -> Option<Self> {
        let Ending::Answered(status) = request.ending else {
            return None;
        };
        let outcome = match status {
            200..=299 => Outcome::Run,
            404 => Outcome::UnknownRoute,
            401 | 403 => Outcome::UnknownKey,
            _ => return None,
        };
        Some(Self {
            target: request.target,
            outcome,
        })
    }

    fn agrees_with(&self, generation: Generation) -> bool {
        let route = self.target.route_is_in(generation);
        let key = self.target.key_is_in(generation);
        match self.outcome {
            Outcome::Run => route && key,
            Outcome::UnknownRoute => !route,
            Outcome::UnknownKey => route && !key,
        }
    }
}

/// Oldest generation that may still decide the request; `None` if its machine is not bound.
fn in_force(history: &History, contact: &Contact<'_>, request: &Request) -> Option<Generation> {
    if !contact.undisturbed(request.front, request.sent, request.ended) {
        return None;
    }
    let bound = if contact.control_is_stable(request.sent) {
        CONFIG_APPLY
    } else {
        CONFIG_APPLY + STRETCH_MAX
    };
    let orders = history.orders.iter();
    let applied = orders.filter(|order| match order.state {
        OrderState::Acknowledged(at) => at + bound < request.sent,
        _ => false,
    });
    applied.map(|order| order.generation).max()
}

/// Generations that may decide a request that ended at `ended`, if none is outdated.
fn sent_until(history: &History, ended: Moment) -> impl Iterator<Item = Generation> {
    let orders = history.orders.iter();
    let sent = orders.filter(move |order: &&Order| {
        order.sent <= ended && !matches!(order.state, OrderState::Refused(_))
    });
    sent.map(|order| order.generation)
}

/// Finds a request that only a generation older than the one in force allows.
fn outdated(
    history: &History,
    decision: &Decision,
    request: &Request,
    in_force: Option<Generation>,
) -> Option<Violation> {
    let oldest = in_force?;
    is_older(history, decision, request, oldest).then(|| {
        let text = format!(
            "front {} {} as only a generation older than {} allows",
            request.front,
            describe(decision, request),
            oldest.0,
        );
        violation(request, text)
    })
}

/// Finds a request that only a generation older than one that the machine has shown allows.
fn regressed(
    history: &History,
    decision: &Decision,
    request: &Request,
    shown: Option<Generation>,
) -> Option<Violation> {
    let shown = shown?;
    is_older(history, decision, request, shown).then(|| {
        let text = format!(
            "front {} {} although it had shown generation {}",
            request.front,
            describe(decision, request),
            shown.0,
        );
        violation(request, text)
    })
}

/// Whether none of the generations from `oldest` on that were sent can have decided the request.
fn is_older(history: &History, decision: &Decision, request: &Request, oldest: Generation) -> bool {
    let sent = sent_until(history, request.ended);
    let mut allowed = sent.filter(|generation| *generation >= oldest);
    !allowed.any(|generation| decision.agrees_with(generation))
}

fn describe(decision: &Decision, request: &Request) -> String {
    let outcome = match decision.outcome {
        Outcome::Run => "ran",
        Outcome::UnknownRoute => "knew no route for",
        Outcome::UnknownKey => "refused the key of",
    };
    format!("{outcome} {} ({:?})", request.id, decision.target)
}

fn violation(request: &Request, text: String) -> Violation {
    Violation {
        rule: Rule::Config,
        at: request.sent,
        text,
    }
}

/// Newest generation whose effect a backend has seen, by life of a proxy machine.
#[derive(Debug, Default)]
struct ShownGenerations(BTreeMap<(usize, usize), Generation>);

impl ShownGenerations {
    fn record(&mut self, contact: &Contact<'_>, request: &Request) {
        let Some(Decision {
            target: Target::Probe { route, key },
            outcome: Outcome::Run,
        }) = Decision::of(request)
        else {
            return;
        };
        let life = contact.life(request.front, request.sent);
        let newest = self.0.entry((request.front, life)).or_insert(Generation(0));
        *newest = (*newest).max(route.max(key));
    }

    fn newest(&self, contact: &Contact<'_>, request: &Request) -> Option<Generation> {
        let life = contact.life(request.front, request.sent);
        self.0.get(&(request.front, life)).copied()
    }
}
