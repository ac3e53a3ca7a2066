//! Where the tasks of a proxy meet the simulated site.

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

/// What a task waits for on an exchange.
pub enum ExchangeWaiter {
    /// The head of an answer.
    Head {
        /// Where the head goes.
        head: oneshot::Sender<Result<AnswerHead, DispatchError>>,
        /// Where the rest of the answer goes.
        body: mpsc::UnboundedSender<BodyPart>,
        /// Set once the request may have run.
        sent: SentFlag,
    },
    /// The rest of an answer.
    Body(mpsc::UnboundedSender<BodyPart>),
    /// The answer to a withdrawal; nobody may be waiting.
    Withdrawal(Option<oneshot::Sender<WithdrawAnswer>>),
}

/// Timers in the order of their times, then of their numbers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    at: MonotonicTime,
    number: u64,
}

/// State shared by a proxy's tasks and the driver; only ever used by one thread.
pub struct ProxyPort {
    /// The proxy's clock.
    pub now: MonotonicTime,
    /// Actions that tasks requested, in order.
    pub actions: Vec<ProxyAction>,
    /// Exchanges under way.
    pub exchanges: BTreeMap<ExchangeNumber, ExchangeWaiter>,
    /// Presence of each caller: dropped when the caller disconnects.
    pub presences: BTreeMap<RequestNumber, oneshot::Sender<()>>,
    timers: BTreeMap<TimerKey, oneshot::Sender<()>>,
    random: ChaCha8Rng,
    last_number: u64,
}

/// The port as tasks and driver hold it.
pub type SharedPort = Arc<Mutex<ProxyPort>>;

/// Takes the port; the lock is never contended.
pub fn lock(port: &SharedPort) -> MutexGuard<'_, ProxyPort> {
    port.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ProxyPort {
    /// The port of a proxy that starts.
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

    /// A number that was not used before.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// A random number.
    pub fn random(&mut self) -> u64 {
        self.random.random()
    }

    /// A future that resolves at a local time.
    pub fn timer(&mut self, at: MonotonicTime) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let number = self.next_number();
        self.timers.insert(TimerKey { at, number }, sender);
        self.actions.push(ProxyAction::WakeAt(at));
        receiver
    }

    /// Resolves the timers that are due.
    pub fn fire_timers(&mut self) {
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().at > self.now {
                return;
            }
            let _ = entry.remove().send(());
        }
    }
}
