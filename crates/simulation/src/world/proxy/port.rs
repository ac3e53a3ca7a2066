//! Interface between the tasks of a proxy and its driver.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::channel::{mpsc, oneshot};
use millford_core::MonotonicTime;
use millford_proxy::request::message::{AnswerHead, DispatchError, SentFlag, WithdrawAnswer};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::history::RequestNumber;
use crate::world::proxy::action::{ExchangeNumber, ProxyAction};
use crate::world::proxy::answer::BodyPart;

/// The next message that a task expects on an exchange, and its receivers.
pub enum ExchangeWaiter {
    /// The head of an answer.
    Head {
        /// Sender of the head, or of the error.
        head: oneshot::Sender<Result<AnswerHead, DispatchError>>,
        /// Sender of the body that follows.
        body: mpsc::UnboundedSender<BodyPart>,
        /// Set when the request is sent, after which it may have run.
        sent: SentFlag,
    },
    /// The body of an answer.
    Body(mpsc::UnboundedSender<BodyPart>),
    /// The answer to a withdrawal; without a sender the answer is dropped.
    Withdrawal(Option<oneshot::Sender<WithdrawAnswer>>),
}

/// Key of a timer; orders timers by time, then by number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    at: MonotonicTime,
    number: u64,
}

/// State shared by the tasks of a proxy and its driver; used by one thread only.
pub struct ProxyPort {
    /// Local time of the proxy.
    pub now: MonotonicTime,
    /// Actions that tasks requested, in order.
    pub actions: Vec<ProxyAction>,
    /// Exchanges that wait for a message.
    pub exchanges: BTreeMap<ExchangeNumber, ExchangeWaiter>,
    /// One sender per connected caller; dropping it signals that the caller disconnected.
    pub presences: BTreeMap<RequestNumber, oneshot::Sender<()>>,
    timers: BTreeMap<TimerKey, oneshot::Sender<()>>,
    random: ChaCha8Rng,
    last_number: u64,
}

/// Shared handle of a port.
pub type SharedPort = Arc<Mutex<ProxyPort>>;

/// Locks a port. The lock is never contended.
pub fn lock(port: &SharedPort) -> MutexGuard<'_, ProxyPort> {
    port.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ProxyPort {
    /// Creates the port of a proxy that starts at local time `now`.
    #[must_use]
    pub fn new(now: MonotonicTime, random: ChaCha8Rng) -> Self {
        Self {
            now,
            actions: Vec::new(),
            exchanges: BTreeMap::new(),
            presences: BTreeMap::new(),
            timers: BTreeMap::new(),
            random,
            last_number: 0,
        }
    }

    /// Returns a new number, for exchanges, requests and timers.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns a number from the proxy's own random number generator.
    pub fn random(&mut self) -> u64 {
        self.random.random()
    }

    /// Returns a future that resolves at local time `at`.
    pub fn timer(&mut self, at: MonotonicTime) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let number = self.next_number();
        self.timers.insert(TimerKey { at, number }, sender);
        self.actions.push(ProxyAction::WakeAt(at));
        receiver
    }

    /// Resolves the timers that are due at the present local time.
    pub fn fire_timers(&mut self) {
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().at > self.now {
                return;
            }
            let _ = entry.remove().send(());
        }
    }
}
