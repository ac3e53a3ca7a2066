//! The bytes that a process holds for its peers, with a limit for each kind of reader.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use futures::task::AtomicWaker;
use millford_settings::PartLog;
use prometheus::core::Collector;
use prometheus::{IntCounterVec, IntGaugeVec, Opts};
use tokio::sync::Notify;

use crate::log_throttle::LogThrottle;

const LOG: PartLog = PartLog::new("MEMORY");

/// Time without growth after which a buffer counts as stalled.
const STALLED_AFTER: Duration = Duration::from_millis(250);
/// Interval at which a waiting reader looks for stalled buffers.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A part of the process that holds bytes of peers until a unit is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reader {
    /// Request bodies of callers.
    CallerBody,
    /// Events of backends' streams, and their plain answers.
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
            Self::Answer => "answer",
            Self::Frame => "frame",
            Self::OperatorBody => "operator_body",
        }
    }
}

/// The peer that a buffer is filled by: a backend or a connection. Buffers of one source count together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A backend, by its id.
    Backend(Arc<str>),
    /// A connection, which is a source of its own.
    Connection,
}

/// Why a reservation does not grow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BudgetError {
    /// The limit is reached, and the source of this buffer holds most of it.
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

impl Revocation {
    fn revoke(&self) {
        self.is_revoked.store(true, Ordering::SeqCst);
        self.waker.wake();
    }
}

#[derive(Debug)]
struct Holder {
    source: Source,
    bytes: usize,
    grown_at: Instant,
    /// `None` once the unit is complete: a complete unit does not give way.
    revocation: Option<Arc<Revocation>>,
}

impl Holder {
    fn is_stalled(&self, now: Instant) -> bool {
        self.revocation.is_some() && now - self.grown_at >= STALLED_AFTER
    }
}

/// The buffers of one kind of reader.
#[derive(Debug, Default)]
struct Pool {
    limit: usize,
    used: usize,
    peak: usize,
    next_id: u64,
    holders: BTreeMap<u64, Holder>,
    /// Readers that wait for room, in the order of their arrival.
    queue: VecDeque<u64>,
}

/// The budget of one process: a limit for each kind of reader, so that peers of one kind do not take the room of
/// others.
///
/// A buffer of unknown size grows step by step ([`Reservation::resize`]). When the limit is reached, the source that holds
/// most gives way, so that neither stalled nor endless units of some peers keep the units of others out. A unit whose size
/// is announced is admitted whole ([`MemoryBudget::admit`]): it waits for room, in turn, and buffers that stall meanwhile
/// give way to it.
#[derive(Debug)]
pub struct MemoryBudget {
    pools: Mutex<BTreeMap<Reader, Pool>>,
    released: Notify,
    buffered: IntGaugeVec,
    peak: IntGaugeVec,
    revoked: IntCounterVec,
    throttle: LogThrottle,
}

/// Bytes that one reader holds. Dropping it releases them.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<MemoryBudget>,
    reader: Reader,
    id: u64,
    revocation: Arc<Revocation>,
}

/// A place in the queue of a pool. Dropping it leaves the queue.
struct Ticket<'a> {
    budget: &'a MemoryBudget,
    reader: Reader,
    id: u64,
}

impl Drop for Ticket<'_> {
    fn drop(&mut self) {
        self.budget
            .with_pool(self.reader, |pool| pool.queue.retain(|id| *id != self.id));
        self.budget.released.notify_waiters();
    }
}

impl MemoryBudget {
    /// Creates a budget with a limit in bytes for each kind of reader; a kind that is not listed has none. The names of its
    /// metrics begin with `namespace`.
    ///
    /// # Panics
    /// Panics if `namespace` is not valid as the start of a metric's name.
    #[must_use]
    pub fn new(namespace: &str, limits: &[(Reader, usize)]) -> Arc<Self> {
        let options = |name: &str, help: &str| Opts::new(format!("{namespace}_{name}"), help);
        let buffered = options("buffered_bytes", "Bytes held for peers, by reader.");
        let peak = options("buffered_bytes_peak", "Most bytes held at once, by reader.");
        let revoked = options(
            "revoked_buffers_total",
            "Buffers that gave way because the memory for peers was used up, by reader.",
        );
        let pools = limits.iter().map(|(reader, limit)| {
            let pool = Pool {
                limit: *limit,
                ..Pool::default()
            };
            (*reader, pool)
        });
        Arc::new(Self {
            pools: Mutex::new(pools.collect()),
            released: Notify::new(),
            buffered: IntGaugeVec::new(buffered, &["reader"]).expect("valid metric name"),
            peak: IntGaugeVec::new(peak, &["reader"]).expect("valid metric name"),
            revoked: IntCounterVec::new(revoked, &["reader"]).expect("valid metric name"),
            throttle: LogThrottle::default(),
        })
    }

    /// Creates a budget without a limit, for tests and tools.
    #[must_use]
    pub fn unlimited() -> Arc<Self> {
        Self::new("millford", &[])
    }

    /// Returns the metrics, to be registered.
    #[must_use]
    pub fn collectors(&self) -> [Box<dyn Collector>; 3] {
        [
            Box::new(self.buffered.clone()),
            Box::new(self.peak.clone()),
            Box::new(self.revoked.clone()),
        ]
    }

    /// Returns the bytes that a kind of reader holds now.
    #[must_use]
    pub fn used(&self, reader: Reader) -> usize {
        self.with_pool(reader, |pool| pool.used)
    }

    /// Creates an empty reservation, to be resized.
    #[must_use]
    pub fn reserve(self: &Arc<Self>, reader: Reader, source: Source) -> Reservation {
        self.with_pool(reader, |pool| self.reserve_in(pool, reader, source, 0))
    }

    /// Waits until there is room for `bytes`, in turn. A unit larger than the limit waits until there is no other.
    pub async fn admit(self: &Arc<Self>, reader: Reader, bytes: usize) -> Reservation {
        let ticket = self.take_ticket(reader);
        loop {
            let released = self.released.notified();
            if let Some(reservation) = self.try_admit(&ticket, bytes) {
                return reservation;
            }
            // The wait ends at times without a release, to look for stalled buffers.
            let _ = tokio::time::timeout(STALL_CHECK_INTERVAL, released).await;
        }
    }

    fn take_ticket(&self, reader: Reader) -> Ticket<'_> {
        let id = self.with_pool(reader, |pool| {
            let id = pool.take_id();
            pool.queue.push_back(id);
            id
        });
        Ticket {
            budget: self,
            reader,
            id,
        }
    }

    /// Admits the reader at the front of the queue if there is room, or if stalled buffers make room.
    fn try_admit(self: &Arc<Self>, ticket: &Ticket<'_>, bytes: usize) -> Option<Reservation> {
        let reader = ticket.reader;
        self.with_pool(reader, |pool| {
            if pool.queue.front() != Some(&ticket.id) {
                return None;
            }
            while !pool.has_room(bytes) {
                let stalled = pool.longest_stalled()?;
                self.revoke(pool, reader, stalled);
            }
            Some(self.reserve_in(pool, reader, Source::Connection, bytes))
        })
    }

    fn reserve_in(
        self: &Arc<Self>,
        pool: &mut Pool,
        reader: Reader,
        source: Source,
        bytes: usize,
    ) -> Reservation {
        let revocation = Arc::new(Revocation::default());
        let id = pool.take_id();
        let holder = Holder {
            source,
            bytes: 0,
            grown_at: Instant::now(),
            revocation: Some(Arc::clone(&revocation)),
        };
        pool.holders.insert(id, holder);
        self.set_bytes(pool, reader, id, bytes);
        Reservation {
            budget: Arc::clone(self),
            reader,
            id,
            revocation,
        }
    }

    fn resize(&self, reader: Reader, id: u64, bytes: usize) -> Result<(), BudgetError> {
        self.with_pool(reader, |pool| {
            let holder = pool.holders.get_mut(&id).ok_or(BudgetError::Revoked)?;
            let growth = bytes.saturating_sub(holder.bytes);
            if growth > 0 {
                holder.grown_at = Instant::now();
            }
            while growth > 0 && !pool.has_room(growth) {
                let victim = pool.victim(id, bytes).ok_or(BudgetError::Exhausted)?;
                self.revoke(pool, reader, victim);
            }
            self.set_bytes(pool, reader, id, bytes);
            Ok(())
        })
    }

    fn set_bytes(&self, pool: &mut Pool, reader: Reader, id: u64, bytes: usize) {
        let Some(holder) = pool.holders.get_mut(&id) else {
            return;
        };
        let before = std::mem::replace(&mut holder.bytes, bytes);
        pool.used = pool.used - before + bytes;
        let labels = [reader.name()];
        self.buffered
            .with_label_values(&labels)
            .set(to_i64(pool.used));
        if pool.used > pool.peak {
            pool.peak = pool.used;
            self.peak.with_label_values(&labels).set(to_i64(pool.used));
        }
    }

    /// Removes a holder at once: its owner is woken and drops its bytes when it runs.
    fn revoke(&self, pool: &mut Pool, reader: Reader, id: u64) {
        let bytes = pool.holders.get(&id).map_or(0, |holder| holder.bytes);
        self.set_bytes(pool, reader, id, 0);
        let holder = pool.holders.remove(&id);
        if let Some(revocation) = holder.and_then(|holder| holder.revocation) {
            revocation.revoke();
        }
        self.revoked.with_label_values(&[reader.name()]).inc();
        if let Some(skipped) = self.throttle.permit() {
            LOG.warn(format_args!(
                "The memory for peers ({} bytes, {}) is used up: a buffer of {bytes} bytes gives way; {skipped} others \
                 did since the last line.",
                pool.limit,
                reader.name()
            ));
        }
    }

    fn release(&self, reader: Reader, id: u64) {
        self.with_pool(reader, |pool| {
            self.set_bytes(pool, reader, id, 0);
            pool.holders.remove(&id);
        });
        self.released.notify_waiters();
    }

    fn with_pool<R>(&self, reader: Reader, change: impl FnOnce(&mut Pool) -> R) -> R {
        let mut pools = self.lock();
        let pool = pools.entry(reader).or_insert_with(|| Pool {
            limit: usize::MAX,
            ..Pool::default()
        });
        change(pool)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Reader, Pool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pool {
    fn take_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn has_room(&self, bytes: usize) -> bool {
        self.used == 0 || self.used.saturating_add(bytes) <= self.limit
    }

    /// Returns the buffer that has stalled for longest.
    fn longest_stalled(&self) -> Option<u64> {
        let now = Instant::now();
        let stalled = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_stalled(now));
        let longest = stalled.min_by_key(|(_, holder)| holder.grown_at);
        longest.map(|(id, _)| *id)
    }

    /// Returns the holder that gives way to the holder `id`, which grows to `bytes`: the one stalled for longest, or else the
    /// largest of the source that holds most. `None` if the growing one has to give way itself.
    fn victim(&self, id: u64, bytes: usize) -> Option<u64> {
        if let Some(stalled) = self.longest_stalled().filter(|stalled| *stalled != id) {
            return Some(stalled);
        }
        let own = &self.holders.get(&id)?.source;
        let totals = self.totals_by_backend();
        let total_of = |source: &Source, bytes: usize| match source {
            Source::Backend(backend) => totals.get(backend).copied().unwrap_or(bytes),
            Source::Connection => bytes,
        };
        let others = self
            .holders
            .iter()
            .filter(|(other, holder)| **other != id && holder.revocation.is_some());
        let largest =
            others.max_by_key(|(_, holder)| (total_of(&holder.source, holder.bytes), holder.bytes));
        let (victim, holder) = largest?;
        let is_same_backend = holder.source == *own && holder.source != Source::Connection;
        let gives_way = if is_same_backend {
            holder.bytes > bytes
        } else {
            total_of(&holder.source, holder.bytes) > total_of(own, bytes)
        };
        gives_way.then_some(*victim)
    }

    /// Bytes of all buffers of each backend.
    fn totals_by_backend(&self) -> BTreeMap<Arc<str>, usize> {
        let mut totals = BTreeMap::new();
        for holder in self.holders.values() {
            if let Source::Backend(backend) = &holder.source {
                *totals.entry(Arc::clone(backend)).or_default() += holder.bytes;
            }
        }
        totals
    }
}

impl Reservation {
    /// Changes the number of bytes.
    ///
    /// # Errors
    /// See [`BudgetError`]; the reservation is then unchanged, or gone if it was revoked.
    pub fn resize(&self, bytes: usize) -> Result<(), BudgetError> {
        self.budget.resize(self.reader, self.id, bytes)
    }

    /// Records that bytes were received within the reserved size, so that the buffer does not count as stalled.
    pub fn record_progress(&self) {
        self.budget.with_pool(self.reader, |pool| {
            if let Some(holder) = pool.holders.get_mut(&self.id) {
                holder.grown_at = Instant::now();
            }
        });
    }

    /// Declares the unit complete: it no longer gives way to others.
    pub fn complete(&self) {
        self.budget.with_pool(self.reader, |pool| {
            if let Some(holder) = pool.holders.get_mut(&self.id) {
                holder.revocation = None;
            }
        });
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
        self.budget.release(self.reader, self.id);
    }
}

fn to_i64(bytes: usize) -> i64 {
    i64::try_from(bytes).unwrap_or(i64::MAX)
}
