//! This node's connections to each backend: idle ones are pooled, and their number is limited.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};

use crate::backend::connection::Connection;
use crate::lock::lock;

/// How long an idle connection stays usable if the backend declares no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// How long before the backend would close an idle connection it is no longer used: a request that is sent while
/// the backend closes the connection has an unknown outcome.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Why no connection could be acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireError {
    /// This node has reached its limit of connections to the backend.
    AtLimit,
    /// The backend refused the connection, or it failed with another error.
    Refused,
    /// The connection was not established in time.
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
    /// Number of connections that carry a request or are being opened.
    in_use: u32,
}

/// The connections of this node, by backend id.
#[derive(Debug)]
pub struct ConnectionPools {
    pools: Mutex<BTreeMap<String, BackendPool>>,
    connect_timeout: Duration,
    max_head_bytes: usize,
}

/// A connection in use. Dropping it closes it; [`Self::release`] returns it to its pool.
#[derive(Debug)]
pub struct PooledConnection {
    pools: Arc<ConnectionPools>,
    backend_id: String,
    connection: Option<Connection>,
    reused: bool,
}

impl ConnectionPools {
    /// Creates empty pools. Opening a connection takes at most `connect_timeout`, and heads of answers have at most
    /// `max_head_bytes`.
    #[must_use]
    pub fn new(connect_timeout: Duration, max_head_bytes: usize) -> Self {
        Self {
            pools: Mutex::default(),
            connect_timeout,
            max_head_bytes,
        }
    }

    /// Returns an idle connection to the backend, or opens one if fewer than `max_connections` are in use.
    ///
    /// # Errors
    /// See [`AcquireError`].
    pub async fn acquire(
        self: &Arc<Self>,
        backend_id: &str,
        address: &str,
        max_connections: u32,
    ) -> Result<PooledConnection, AcquireError> {
        match self.take_idle(backend_id, max_connections)? {
            Some(pooled) => Ok(pooled),
            None => self.open(backend_id, address).await,
        }
    }

    /// Opens a new connection even if there are idle ones, to probe whether the backend accepts connections.
    ///
    /// # Errors
    /// See [`AcquireError`].
    pub async fn dial(
        self: &Arc<Self>,
        backend_id: &str,
        address: &str,
    ) -> Result<PooledConnection, AcquireError> {
        self.lock().entry(backend_id.to_owned()).or_default().in_use += 1;
        self.open(backend_id, address).await
    }

    /// Returns the number of connections to a backend that are in use or being opened.
    #[must_use]
    pub fn in_use(&self, backend_id: &str) -> u32 {
        self.lock().get(backend_id).map_or(0, |pool| pool.in_use)
    }

    /// Closes all idle connections to a backend.
    pub fn close_idle(&self, backend_id: &str) {
        if let Some(pool) = self.lock().get_mut(backend_id) {
            pool.idle.clear();
        }
    }

    /// Closes connections that have been idle for too long, and idle connections to backends that are not `known`.
    pub fn close_expired(&self, now: MonotonicTime, known: impl Fn(&str) -> bool) {
        self.lock().retain(|backend_id, pool| {
            pool.idle.retain(|idle| idle.usable_until > now);
            if !known(backend_id) {
                pool.idle.clear();
            }
            pool.in_use > 0 || !pool.idle.is_empty()
        });
    }

    /// Takes the most recently used idle connection that is still usable. Returns `None` if there is none; a
    /// connection that the caller is to open is then already counted as in use.
    fn take_idle(
        self: &Arc<Self>,
        backend_id: &str,
        max_connections: u32,
    ) -> Result<Option<PooledConnection>, AcquireError> {
        let now = monotonic_now();
        let mut pools = self.lock();
        let pool = pools.entry(backend_id.to_owned()).or_default();
        pool.idle.retain(|idle| idle.usable_until > now);
        while let Some(idle) = pool.idle.pop() {
            if idle.connection.is_ready() {
                pool.in_use += 1;
                return Ok(Some(self.pooled(backend_id, Some(idle.connection), true)));
            }
        }
        if pool.in_use >= max_connections {
            return Err(AcquireError::AtLimit);
        }
        pool.in_use += 1;
        Ok(None)
    }

    /// Opens a connection that is already counted as in use.
    async fn open(
        self: &Arc<Self>,
        backend_id: &str,
        address: &str,
    ) -> Result<PooledConnection, AcquireError> {
        let mut pooled = self.pooled(backend_id, None, false);
        let opened = Connection::open(address, self.connect_timeout, self.max_head_bytes).await;
        let connection = opened.map_err(|error| match error.kind() {
            std::io::ErrorKind::TimedOut => AcquireError::TimedOut,
            _ => AcquireError::Refused,
        })?;
        pooled.connection = Some(connection);
        Ok(pooled)
    }

    fn pooled(
        self: &Arc<Self>,
        backend_id: &str,
        connection: Option<Connection>,
        reused: bool,
    ) -> PooledConnection {
        PooledConnection {
            pools: Arc::clone(self),
            backend_id: backend_id.to_owned(),
            connection,
            reused,
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, BackendPool>> {
        lock(&self.pools)
    }
}

impl PooledConnection {
    /// Returns the connection; `None` only while it is being opened.
    pub fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Whether the connection was taken from the pool rather than newly opened.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns the connection to its pool, after its response was read completely. `keep_alive` is the keep-alive
    /// timeout that the backend declared, if any.
    pub fn release(mut self, keep_alive: Option<Duration>) {
        let Some(connection) = self.connection.take() else {
            return;
        };
        let reusable_for = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        if reusable_for.is_zero() {
            return;
        }
        let idle = IdleConnection {
            connection,
            usable_until: monotonic_now() + reusable_for,
        };
        let mut pools = self.pools.lock();
        if let Some(pool) = pools.get_mut(&self.backend_id) {
            pool.idle.push(idle);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let mut pools = self.pools.lock();
        if let Some(pool) = pools.get_mut(&self.backend_id) {
            pool.in_use = pool.in_use.saturating_sub(1);
        }
    }
}
