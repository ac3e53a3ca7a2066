//! Connections of this node to each backend: kept while idle, bounded in number.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};

use crate::backend::connection::Connection;

/// How long an idle connection is kept when the backend does not say.
const USUAL_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// An idle connection is given up this long before the backend would close it: a request that meets
/// the closing has an unknown fate.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Why no connection could be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// This node has as many connections as it may have.
    NoRoom,
    /// The backend refused the connection.
    Refused,
    /// The backend did not answer in time.
    TimedOut,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until: MonotonicTime,
}

#[derive(Debug, Default)]
struct BackendPool {
    idle: Vec<IdleConnection>,
    leased: u32,
}

/// Connections by backend.
#[derive(Debug)]
pub struct ConnectionPools {
    pools: Mutex<BTreeMap<String, BackendPool>>,
    connect_timeout: Duration,
}

/// A connection in use. Dropped, it is closed; given back, it is kept.
#[derive(Debug)]
pub struct Lease {
    pools: Arc<ConnectionPools>,
    backend_id: String,
    connection: Option<Connection>,
    reused: bool,
}

impl ConnectionPools {
    /// No connections yet; opening one takes at most `connect_timeout`.
    #[must_use]
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            pools: Mutex::default(),
            connect_timeout,
        }
    }

    /// An idle connection to the backend, or a new one while this node has fewer than `most`.
    ///
    /// # Errors
    /// See [`AcquireError`].
    pub async fn acquire(
        self: &Arc<Self>,
        backend_id: &str,
        address: &str,
        most: u32,
    ) -> Result<Lease, AcquireError> {
        match self.take_idle(backend_id, most)? {
            Some(lease) => Ok(lease),
            None => self.open(backend_id, address).await,
        }
    }

    /// A new connection, whatever is idle: to see whether the backend is there.
    ///
    /// # Errors
    /// See [`AcquireError`].
    pub async fn dial(
        self: &Arc<Self>,
        backend_id: &str,
        address: &str,
    ) -> Result<Lease, AcquireError> {
        self.lock().entry(backend_id.to_owned()).or_default().leased += 1;
        self.open(backend_id, address).await
    }

    /// Requests under way to a backend.
    #[must_use]
    pub fn leased(&self, backend_id: &str) -> u32 {
        self.lock().get(backend_id).map_or(0, |pool| pool.leased)
    }

    /// Closes the idle connections to a backend that is out of use.
    pub fn forget_idle(&self, backend_id: &str) {
        if let Some(pool) = self.lock().get_mut(backend_id) {
            pool.idle.clear();
        }
    }

    /// Closes connections that are idle for too long, and those to backends that are gone.
    pub fn sweep(&self, now: MonotonicTime, known: impl Fn(&str) -> bool) {
        self.lock().retain(|backend_id, pool| {
            pool.idle.retain(|idle| idle.usable_until > now);
            if !known(backend_id) {
                pool.idle.clear();
            }
            pool.leased > 0 || !pool.idle.is_empty()
        });
    }

    /// Takes the newest idle connection that still works, or a place for a new one.
    fn take_idle(
        self: &Arc<Self>,
        backend_id: &str,
        most: u32,
    ) -> Result<Option<Lease>, AcquireError> {
        let now = monotonic_now();
        let mut pools = self.lock();
        let pool = pools.entry(backend_id.to_owned()).or_default();
        pool.idle.retain(|idle| idle.usable_until > now);
        while let Some(idle) = pool.idle.pop() {
            if idle.connection.is_ready() {
                pool.leased += 1;
                return Ok(Some(self.lease(backend_id, Some(idle.connection), true)));
            }
        }
        if pool.leased >= most {
            return Err(AcquireError::NoRoom);
        }
        pool.leased += 1;
        Ok(None)
    }

    /// Opens a connection for a place that is counted already.
    async fn open(
        self: &Arc<Self>,
        backend_id: &str,
        address: &str,
    ) -> Result<Lease, AcquireError> {
        let mut lease = self.lease(backend_id, None, false);
        let opened = Connection::open(address, self.connect_timeout).await;
        let connection = opened.map_err(|error| match error.kind() {
            std::io::ErrorKind::TimedOut => AcquireError::TimedOut,
            _ => AcquireError::Refused,
        })?;
        lease.connection = Some(connection);
        Ok(lease)
    }

    fn lease(
        self: &Arc<Self>,
        backend_id: &str,
        connection: Option<Connection>,
        reused: bool,
    ) -> Lease {
        Lease {
            pools: Arc::clone(self),
            backend_id: backend_id.to_owned(),
            connection,
            reused,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, BackendPool>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// The connection; none only while it is being opened.
    pub fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Whether the connection had carried a request before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Keeps the connection for the next request: its answer was read whole.
    pub fn give_back(mut self, keep_alive: Option<Duration>) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let kept_for = keep_alive
            .unwrap_or(USUAL_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        if kept_for.is_zero() {
            return;
        }
        let idle = IdleConnection {
            connection,
            usable_until: monotonic_now() + kept_for,
        };
        let mut pools = self.pools.lock();
        if let Some(pool) = pools.get_mut(&self.backend_id) {
            pool.idle.push(idle);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut pools = self.pools.lock();
        if let Some(pool) = pools.get_mut(&self.backend_id) {
            pool.leased = pool.leased.saturating_sub(1);
        }
    }
}
