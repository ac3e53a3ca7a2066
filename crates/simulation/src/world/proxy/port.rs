//! Where the tasks of a proxy meet the simulated site.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::channel::{mpsc, oneshot};
use millford_core::MonotonicTime;
use millford_proxy::request::message::{AnswerHead, DispatchError, SentFlag, WithdrawAnswer};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::history::CallNumber;
use crate::world::proxy::action::{ExchangeNumber, ProxyAction};
use crate::world::proxy::answer::AnswerPart;

/// What a task waits for on an exchange.
pub enum ExchangeWaiter {
    /// The head of an answer.
    Head {
        head: oneshot::Sender<Result<AnswerHead, DispatchError>>,
        parts: mpsc::UnboundedSender<AnswerPart>,
        sent: SentFlag,
    },
    /// The rest of an answer.
    Parts(mpsc::UnboundedSender<AnswerPart>),
    /// The answer to a withdrawal; nobody may be waiting.
    Withdrawal(Option<oneshot::Sender<WithdrawAnswer>>),
}

/// State shared by a proxy's tasks and the driver; only ever used by one thread.
pub struct ProxyPort {
    /// The proxy's clock.
    pub now: MonotonicTime,
    /// Wishes of the tasks, in order.
    pub actions: Vec<ProxyAction>,
    /// Exchanges under way.
    pub exchanges: BTreeMap<ExchangeNumber, ExchangeWaiter>,
    /// Presence of each caller: dropped when the caller leaves.
    pub presences: BTreeMap<CallNumber, oneshot::Sender<()>>,
    timers: BTreeMap<(MonotonicTime, u64), oneshot::Sender<()>>,
    random: ChaCha8Rng,
    next_number: u64,
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
            next_number: 0,
        }
    }

    /// A number that was not given before.
    pub fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// A random number.
    pub fn random(&mut self) -> u64 {
        self.random.random()
    }

    /// A future that resolves at a local time.
    pub fn timer(&mut self, at: MonotonicTime) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let number = self.next_number();
        self.timers.insert((at, number), sender);
        self.actions.push(ProxyAction::WakeAt(at));
        receiver
    }

    /// Resolves the timers that are due.
    pub fn fire_timers(&mut self) {
        while let Some(entry) = self.timers.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let _ = entry.remove().send(());
        }
    }
}
