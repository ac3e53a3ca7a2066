//! Keeps a connection to one control node and moves on when that node fails.

use millford_api::state::ControlMember;
use millford_core::backoff::Backoff;
use millford_core::{Duration, MonotonicTime};

use crate::input::ControlLinkId;
use crate::link::address_book::AddressBook;
use crate::timing::{
    CONNECT_TIMEOUT, CONNECT_TIMEOUT_IN_HURRY, CONTROL_SILENCE, PATIENCE_CEILING, RETRY_CEILING,
    RETRY_FIRST, SETTLED_AFTER, START_HURRY,
};

/// What the link wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// Connect to the address under this number.
    Connect(ControlLinkId, String),
    /// Close the connection with this number.
    Close(ControlLinkId),
}

#[derive(Clone, Debug)]
enum LinkState {
    Down {
        retry_at: MonotonicTime,
    },
    Dialing {
        link: ControlLinkId,
        since: MonotonicTime,
    },
    Up {
        link: ControlLinkId,
        address: String,
        last_heard: MonotonicTime,
        /// In touch for long enough to start a new round over the other nodes.
        settled: bool,
    },
}

/// State of the agent's connection to the control plane.
#[derive(Clone, Debug)]
pub struct ControlLink {
    book: AddressBook,
    state: LinkState,
    dialed: String,
    next_link: ControlLinkId,
    backoff: Backoff,
    patience: Duration,
    /// A node of this round accepted the connection and then said nothing.
    silent_in_round: bool,
    in_touch_since: Option<MonotonicTime>,
    out_of_touch_since: Option<MonotonicTime>,
    /// Until then rounds follow each other quickly; over with the first touch.
    hurry_until: Option<MonotonicTime>,
}

impl ControlLink {
    /// A link that is down and connects at the first tick.
    #[must_use]
    pub fn new(book: AddressBook, now: MonotonicTime) -> Self {
        Self {
            book,
            state: LinkState::Down { retry_at: now },
            dialed: String::new(),
            next_link: 1,
            backoff: Backoff::new(RETRY_FIRST, RETRY_CEILING),
            patience: CONTROL_SILENCE,
            silent_in_round: false,
            in_touch_since: None,
            out_of_touch_since: Some(now),
            hurry_until: Some(now + START_HURRY),
        }
    }

    /// Number of the connection while it is up.
    #[must_use]
    pub fn up(&self) -> Option<ControlLinkId> {
        match self.state {
            LinkState::Up { link, .. } => Some(link),
            _ => None,
        }
    }

    /// Whether this is the connection that is up.
    #[must_use]
    pub fn is_up(&self, link: ControlLinkId) -> bool {
        self.up() == Some(link)
    }

    /// Since when the control node has said that it is in touch with the quorum.
    #[must_use]
    pub fn in_touch_since(&self) -> Option<MonotonicTime> {
        self.in_touch_since
    }

    /// Since when no control node has said so.
    #[must_use]
    pub fn out_of_touch_since(&self) -> Option<MonotonicTime> {
        self.out_of_touch_since
    }

    /// The present control nodes, as last learned.
    #[must_use]
    pub fn members(&self) -> &[ControlMember] {
        self.book.members()
    }

    /// Takes the list of present members; returns whether it changed.
    pub fn learn(&mut self, members: &[ControlMember]) -> bool {
        self.book.learn(members)
    }

    /// The connection is up. Returns whether it is the one that was being made.
    pub fn connected(&mut self, now: MonotonicTime, link: ControlLinkId) -> bool {
        let LinkState::Dialing { link: dialed, .. } = self.state else {
            return false;
        };
        if dialed != link {
            return false;
        }
        self.state = LinkState::Up {
            link,
            address: self.dialed.clone(),
            last_heard: now,
            settled: false,
        };
        true
    }

    /// The connection failed. Returns whether it was the present one.
    pub fn lost(&mut self, now: MonotonicTime, link: ControlLinkId) -> bool {
        let present = match self.state {
            LinkState::Up { link: present, .. } | LinkState::Dialing { link: present, .. } => {
                present == link
            }
            LinkState::Down { .. } => false,
        };
        if present {
            self.fall(now);
        }
        present
    }

    /// The control node sent something.
    pub fn heard(&mut self, now: MonotonicTime) {
        if let LinkState::Up { last_heard, .. } = &mut self.state {
            *last_heard = now;
        }
    }

    /// The control node says whether it is in touch. Returns whether the agent should stay.
    pub fn confirmed(&mut self, now: MonotonicTime, touch: bool) -> bool {
        let LinkState::Up { .. } = self.state else {
            return true;
        };
        if touch {
            self.in_touch_since.get_or_insert(now);
            self.out_of_touch_since = None;
            self.hurry_until = None;
        } else {
            self.out_of_touch(now);
        }
        touch
    }

    /// Leaves the present node for the next one.
    pub fn leave(&mut self, now: MonotonicTime) -> Option<LinkAction> {
        let link = match self.state {
            LinkState::Up { link, .. } | LinkState::Dialing { link, .. } => link,
            LinkState::Down { .. } => return None,
        };
        self.fall(now);
        Some(LinkAction::Close(link))
    }

    /// Leaves a silent node, or connects to the next one when it is time.
    pub fn tick(&mut self, now: MonotonicTime) -> Vec<LinkAction> {
        let mut actions = Vec::new();
        let overdue = match self.state {
            LinkState::Up { last_heard, .. } => now.since(last_heard) > self.patience,
            LinkState::Dialing { since, .. } => now.since(since) > self.connect_timeout(now),
            LinkState::Down { .. } => false,
        };
        if overdue {
            self.silent_in_round |= self.up().is_some();
            actions.extend(self.leave(now));
        }
        self.settle(now);
        actions.extend(self.dial(now));
        actions
    }

    /// A node that proved good for a while makes every other one worth a try again. Before that the
    /// round goes on, so that nodes which fail one after the other are not tried without a pause.
    fn settle(&mut self, now: MonotonicTime) {
        let LinkState::Up {
            address, settled, ..
        } = &mut self.state
        else {
            return;
        };
        let since = self.in_touch_since;
        if !*settled && since.is_some_and(|since| now.since(since) >= SETTLED_AFTER) {
            *settled = true;
            self.book.begin_round(Some(address));
            self.backoff.reset();
            self.patience = CONTROL_SILENCE;
        }
    }

    fn dial(&mut self, now: MonotonicTime) -> Option<LinkAction> {
        let LinkState::Down { retry_at } = self.state else {
            return None;
        };
        if now < retry_at {
            return None;
        }
        let address = self.book.next_address().or_else(|| {
            self.book.begin_round(None);
            self.book.next_address()
        })?;
        let link = self.next_link;
        self.next_link += 1;
        self.dialed.clone_from(&address);
        self.state = LinkState::Dialing { link, since: now };
        Some(LinkAction::Connect(link, address))
    }

    /// The connection is gone: the next address at once, or a new round after a delay.
    fn fall(&mut self, now: MonotonicTime) {
        self.out_of_touch(now);
        let delay = if self.book.round_ended() {
            self.end_round();
            self.pause(now)
        } else {
            Duration::ZERO
        };
        self.state = LinkState::Down {
            retry_at: now + delay,
        };
    }

    fn pause(&mut self, now: MonotonicTime) -> Duration {
        match self.is_in_hurry(now) {
            true => RETRY_FIRST,
            false => self.backoff.next_delay(),
        }
    }

    fn connect_timeout(&self, now: MonotonicTime) -> Duration {
        match self.is_in_hurry(now) {
            true => CONNECT_TIMEOUT_IN_HURRY,
            false => CONNECT_TIMEOUT,
        }
    }

    fn is_in_hurry(&self, now: MonotonicTime) -> bool {
        self.hurry_until.is_some_and(|until| now < until)
    }

    /// Nodes that are busy are given longer in the next round; nodes that are down are not waited
    /// for.
    fn end_round(&mut self) {
        if std::mem::take(&mut self.silent_in_round) {
            self.patience = (self.patience * 2).min(PATIENCE_CEILING);
        }
    }

    fn out_of_touch(&mut self, now: MonotonicTime) {
        self.in_touch_since = None;
        self.out_of_touch_since.get_or_insert(now);
    }
}
