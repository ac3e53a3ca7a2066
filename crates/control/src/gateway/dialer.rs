//! Keeps a connection to every known control address, and reconnects with backoff.

use std::collections::{BTreeMap, BTreeSet};

use millford_core::backoff::Backoff;
use millford_core::{MonotonicTime, NodeId};

use crate::link::LinkId;
use crate::timing::{
    DIAL_BACKOFF_INITIAL, DIAL_BACKOFF_MAX, HELLO_PERIOD, PEER_INACTIVITY_TIMEOUT,
};

/// An action that the gateway carries out for the dialer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum DialAction {
    /// Open a connection to this address, as the link with this number.
    Connect(LinkId, String),
    /// Send a hello to the control node on an open link.
    SendHello(LinkId),
    /// Close the link, whose peer is unresponsive.
    Close(LinkId),
}

#[derive(Debug)]
struct Dial {
    link: Option<LinkId>,
    open: bool,
    peer: Option<NodeId>,
    last_contact: MonotonicTime,
    next_hello: MonotonicTime,
    next_attempt: MonotonicTime,
    backoff: Backoff,
}

impl Dial {
    fn new(now: MonotonicTime) -> Self {
        Self {
            link: None,
            open: false,
            peer: None,
            last_contact: now,
            next_hello: now,
            next_attempt: now,
            backoff: Backoff::new(DIAL_BACKOFF_INITIAL, DIAL_BACKOFF_MAX),
        }
    }

    fn fail(&mut self, now: MonotonicTime) {
        self.link = None;
        self.open = false;
        self.next_attempt = now + self.backoff.next_delay();
    }
}

/// The connections by address, at most one for each.
#[derive(Debug, Default)]
pub(super) struct Dialer {
    dials: BTreeMap<String, Dial>,
    links_opened: u64,
}

impl Dialer {
    /// Returns the actions that are due: connections to open and close, and hellos to send.
    pub(super) fn tick(
        &mut self,
        now: MonotonicTime,
        desired: &BTreeSet<String>,
    ) -> Vec<DialAction> {
        let mut actions = self.close_undesired(desired);
        for address in desired {
            let dials = &mut self.dials;
            let dial = dials
                .entry(address.clone())
                .or_insert_with(|| Dial::new(now));
            let action = next_action(now, address, dial, &mut self.links_opened);
            actions.extend(action);
        }
        actions
    }

    /// Records that a requested link is open.
    pub(super) fn opened(&mut self, now: MonotonicTime, link: LinkId) {
        if let Some(dial) = self.find(link) {
            dial.open = true;
            dial.last_contact = now;
            dial.next_hello = now;
        }
    }

    /// Records that a link closed, and schedules the next attempt. Returns the link's address.
    pub(super) fn closed(&mut self, now: MonotonicTime, link: LinkId) -> Option<String> {
        let entry = self
            .dials
            .iter_mut()
            .find(|(_, dial)| dial.link == Some(link));
        let (address, dial) = entry?;
        dial.fail(now);
        Some(address.clone())
    }

    /// Records that the peer of a link replied to a hello. Returns the link's address.
    pub(super) fn answered(
        &mut self,
        now: MonotonicTime,
        link: LinkId,
        peer: NodeId,
    ) -> Option<String> {
        let entry = self
            .dials
            .iter_mut()
            .find(|(_, dial)| dial.link == Some(link));
        let (address, dial) = entry?;
        dial.last_contact = now;
        dial.peer = Some(peer);
        dial.backoff.reset();
        Some(address.clone())
    }

    /// Whether the node answered a hello within the inactivity timeout.
    pub(super) fn is_connected(&self, now: MonotonicTime, node: NodeId) -> bool {
        self.dials.values().any(|dial| {
            dial.open
                && dial.peer == Some(node)
                && now.since(dial.last_contact) < PEER_INACTIVITY_TIMEOUT
        })
    }

    /// Schedules a hello to every control node for the next tick, to announce a change early.
    pub(super) fn schedule_hellos(&mut self, now: MonotonicTime) {
        for dial in self.dials.values_mut() {
            dial.next_hello = now;
        }
    }

    fn find(&mut self, link: LinkId) -> Option<&mut Dial> {
        let mut dials = self.dials.values_mut();
        dials.find(|dial| dial.link == Some(link))
    }

    fn close_undesired(&mut self, desired: &BTreeSet<String>) -> Vec<DialAction> {
        let mut closed = Vec::new();
        self.dials.retain(|address, dial| {
            let keep = desired.contains(address);
            if !keep {
                closed.extend(dial.link.map(DialAction::Close));
            }
            keep
        });
        closed
    }
}

fn next_action(
    now: MonotonicTime,
    address: &str,
    dial: &mut Dial,
    links_opened: &mut u64,
) -> Option<DialAction> {
    let Some(link) = dial.link else {
        if now < dial.next_attempt {
            return None;
        }
        *links_opened += 1;
        let link = LinkId::outgoing(*links_opened);
        dial.link = Some(link);
        dial.last_contact = now;
        dial.peer = None;
        return Some(DialAction::Connect(link, address.to_owned()));
    };
    if now.since(dial.last_contact) >= PEER_INACTIVITY_TIMEOUT {
        dial.fail(now);
        return Some(DialAction::Close(link));
    }
    if dial.open && now >= dial.next_hello {
        dial.next_hello = now + HELLO_PERIOD;
        return Some(DialAction::SendHello(link));
    }
    None
}
