//! The bytes that a process holds for its peers, with a limit for all readers together.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures::task::AtomicWaker;
use millford_settings::PartLog;
use prometheus::core::Collector;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts};

use crate::log_throttle::LogThrottle;

const LOG: PartLog = PartLog::new("MEMORY");

/// Time without growth after which a buffer counts as stalled.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// A part of the process that holds bytes of peers until a unit is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reader {
    /// Request bodies of callers.
    CallerBody,
    /// Events of backends' streams.
    Event,
    /// Plain answers of backends.
    Answer,
    /// Frames of the internal protocol.
    Frame,
    /// Request bodies of operators.
    OperatorBody,
}

impl Reader {
    /// Returns the name used in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::CallerBody => "caller_body",
            Self::Event => "event",
            Self::Answer => "answer",
            Self::Frame => "frame",
            Self::OperatorBody => "operator_body",
        }
    }
}

/// Why a reservation does not grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetError {
    /// The limit is reached and no other buffer gives way to this one.
    #[error("the memory for peers is used up")]
    Exhausted,
    /// This buffer had to give way to another one.
    #[error("the buffer gave way to others, because the memory for peers is used up")]
    Revoked,
}

/// Tells the owner of a buffer that it has to give way.
#[derive(Debug, Default)]
struct Revocation {
    is_revoked: AtomicBool,
    waker: AtomicWaker,
}

#[derive(Debug)]
struct Holder {
    reader: Reader,
    bytes: usize,
    grown_at: Instant,
    /// `None` once the unit is complete: a complete unit does not give way.
    revocation: Option<Arc<Revocation>>,
}

#[derive(Debug, Default)]
struct Ledger {
    used: usize,
    next_id: u64,
    holders: BTreeMap<u64, Holder>,
}

/// The budget of one process.
///
/// When it is used up, the largest buffer that has not grown for half a second gives way, or else the largest buffer
/// that is larger than the growing one. So neither stalled nor endless units of some peers keep the small units of
/// others out.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    ledger: Mutex<Ledger>,
    buffered: IntGaugeVec,
    largest_sum: IntGauge,
    revoked: IntCounterVec,
    throttle: LogThrottle,
}

/// Bytes that one reader holds. Dropping it releases them.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    id: u64,
    revocation: Arc<Revocation>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes, whose metrics begin with `namespace`.
    ///
    /// # Panics
    /// Panics if `namespace` is not valid as the start of a metric's name.
    #[must_use]
    pub fn new(namespace: &str, limit: usize) -> Arc<Self> {
        let options = |name: &str, help: &str| Opts::new(format!("{namespace}_{name}"), help);
        let buffered = options("buffered_bytes", "Bytes held for peers, by reader.");
        let largest = options("buffered_bytes_peak", "Most bytes held for peers at once.");
        let revoked = options(
            "revoked_buffers_total",
            "Buffers that gave way because the memory for peers was used up, by reader.",
        );
        Arc::new(Self {
            limit,
            ledger: Mutex::default(),
            buffered: IntGaugeVec::new(buffered, &["reader"]).expect("valid metric name"),
            largest_sum: IntGauge::with_opts(largest).expect("valid metric name"),
            revoked: IntCounterVec::new(revoked, &["reader"]).expect("valid metric name"),
            throttle: LogThrottle::default(),
        })
    }

    /// Creates a budget without a limit, for tests and tools.
    #[must_use]
    pub fn unlimited() -> Arc<Self> {
        Self::new("millford", usize::MAX)
    }

    /// Returns the metrics, to be registered.
    #[must_use]
    pub fn collectors(&self) -> [Box<dyn Collector>; 3] {
        [
            Box::new(self.buffered.clone()),
            Box::new(self.largest_sum.clone()),
            Box::new(self.revoked.clone()),
        ]
    }

    /// Returns the bytes that all readers hold now.
    #[must_use]
    pub fn used(&self) -> usize {
        self.lock().used
    }

    /// Creates an empty reservation.
    #[must_use]
    pub fn reserve(self: &Arc<Self>, reader: Reader) -> Reservation {
        let revocation = Arc::new(Revocation::default());
        let mut ledger = self.lock();
        let id = ledger.next_id;
        ledger.next_id += 1;
        let holder = Holder {
            reader,
            bytes: 0,
            grown_at: Instant::now(),
            revocation: Some(Arc::clone(&revocation)),
        };
        ledger.holders.insert(id, holder);
        Reservation {
            budget: Arc::clone(self),
            id,
            revocation,
        }
    }

    fn resize(&self, id: u64, bytes: usize) -> Result<(), BudgetError> {
        let mut ledger = self.lock();
        let Some(holder) = ledger.holders.get_mut(&id) else {
            return Err(BudgetError::Revoked);
        };
        let (reader, before) = (holder.reader, holder.bytes);
        if bytes > before {
            holder.grown_at = Instant::now();
            let growth = bytes - before;
            while ledger.used.saturating_add(growth) > self.limit {
                let victim = ledger.victim(id, bytes).ok_or(BudgetError::Exhausted)?;
                self.revoke(&mut ledger, victim);
            }
        }
        if let Some(holder) = ledger.holders.get_mut(&id) {
            holder.bytes = bytes;
        }
        ledger.used = ledger.used - before + bytes;
        self.largest_sum
            .set(self.largest_sum.get().max(to_i64(ledger.used)));
        let gauge = self.buffered.with_label_values(&[reader.name()]);
        gauge.add(to_i64(bytes) - to_i64(before));
        Ok(())
    }

    /// Removes a holder at once: its owner is woken and drops its bytes when it runs.
    fn revoke(&self, ledger: &mut Ledger, id: u64) {
        let Some(holder) = ledger.holders.remove(&id) else {
            return;
        };
        ledger.used -= holder.bytes;
        let name = holder.reader.name();
        let gauge = self.buffered.with_label_values(&[name]);
        gauge.sub(to_i64(holder.bytes));
        self.revoked.with_label_values(&[name]).inc();
        if let Some(skipped) = self.throttle.permit() {
            LOG.warn(format_args!(
                "The memory for peers ({} bytes) is used up: a buffer of {} bytes gives way ({name}); {skipped} others \
                 did since the last line.",
                self.limit, holder.bytes
            ));
        }
        if let Some(revocation) = holder.revocation {
            revocation.is_revoked.store(true, Ordering::SeqCst);
            revocation.waker.wake();
        }
    }

    fn release(&self, id: u64) {
        let mut ledger = self.lock();
        let Some(holder) = ledger.holders.remove(&id) else {
            return;
        };
        ledger.used -= holder.bytes;
        let gauge = self.buffered.with_label_values(&[holder.reader.name()]);
        gauge.sub(to_i64(holder.bytes));
    }

    fn lock(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ledger {
    /// Returns the holder that gives way to the holder `id`, which is growing to `bytes`.
    fn victim(&self, id: u64, bytes: usize) -> Option<u64> {
        let now = Instant::now();
        let others = self.holders.iter().filter(|(other, holder)| {
            let is_stalled = now - holder.grown_at >= STALLED_AFTER;
            let gives_way = holder.bytes > bytes || (is_stalled && holder.bytes > 0);
            **other != id && holder.revocation.is_some() && gives_way
        });
        let largest = others.max_by_key(|(_, holder)| {
            let is_stalled = now - holder.grown_at >= STALLED_AFTER;
            (is_stalled, holder.bytes)
        });
        largest.map(|(id, _)| *id)
    }
}

impl Reservation {
    /// Changes the number of bytes.
    ///
    /// # Errors
    /// See [`BudgetError`]; the reservation is then unchanged, or gone if it was revoked.
    pub fn resize(&self, bytes: usize) -> Result<(), BudgetError> {
        self.budget.resize(self.id, bytes)
    }

    /// Declares the unit complete: it no longer gives way to others.
    pub fn complete(&self) {
        if let Some(holder) = self.budget.lock().holders.get_mut(&self.id) {
            holder.revocation = None;
        }
    }

    /// Completes once the reservation has had to give way.
    pub async fn revoked(&self) {
        std::future::poll_fn(|context| self.poll_revoked(context)).await;
    }

    /// As [`Self::revoked`], for implementations of futures and streams.
    pub fn poll_revoked(&self, context: &mut Context<'_>) -> Poll<()> {
        self.revocation.waker.register(context.waker());
        if self.revocation.is_revoked.load(Ordering::SeqCst) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(self.id);
    }
}

fn to_i64(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
