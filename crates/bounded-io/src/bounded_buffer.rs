//! A buffer that grows with what a peer sends, within a limit of its own and the budget of the process.

use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;

use crate::memory_budget::{BudgetError, MemoryBudget, Reader, Reservation, Source};

/// Part of its length by which a full buffer grows at least, as a divisor: less than doubling, since the reservation
/// covers what is allocated.
const GROWTH_DIVISOR: usize = 4;
/// Smallest allocation, in bytes.
const MIN_ALLOCATION: usize = 1024;
/// Largest buffer that counts as one of the fixed buffers of its connection and needs no reservation, in bytes.
pub(crate) const FREE_BYTES: usize = 16 * 1024;

/// Why a buffer takes no more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BufferError {
    /// The unit is larger than the limit of the buffer.
    #[error("the limit of the buffer is exceeded")]
    TooLarge,
    /// The budget of the process does not allow more.
    #[error(transparent)]
    Budget(#[from] BudgetError),
}

/// Complete bytes and their reservation, which lasts as long as any clone.
#[derive(Clone, Debug, Default)]
pub struct HeldBytes {
    bytes: Bytes,
    _reservation: Option<Arc<Reservation>>,
}

impl HeldBytes {
    /// Returns the bytes. The clone shares them and does not extend the reservation.
    #[must_use]
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    pub(crate) fn new(bytes: Bytes, reservation: Option<Reservation>) -> Self {
        Self {
            bytes,
            _reservation: reservation.map(Arc::new),
        }
    }
}

/// The reservation of a buffer that may stay small. It begins once the buffer is larger than the fixed buffers of its
/// connection, so that small units cost nothing.
#[derive(Debug)]
pub struct BufferReservation {
    budget: Arc<MemoryBudget>,
    reader: Reader,
    source: Source,
    reservation: Option<Reservation>,
    bytes: usize,
}

impl BufferReservation {
    /// Creates the reservation of an empty buffer.
    #[must_use]
    pub fn new(budget: &Arc<MemoryBudget>, reader: Reader, source: Source) -> Self {
        Self {
            budget: Arc::clone(budget),
            reader,
            source,
            reservation: None,
            bytes: 0,
        }
    }

    /// Changes the size of the buffer.
    ///
    /// # Errors
    /// As [`Reservation::resize`].
    pub fn resize(&mut self, bytes: usize) -> Result<(), BudgetError> {
        let reserved = if bytes > FREE_BYTES { bytes } else { 0 };
        if reserved == self.bytes {
            return Ok(());
        }
        let reservation = self
            .reservation
            .get_or_insert_with(|| self.budget.reserve(self.reader, self.source.clone()));
        reservation.resize(reserved)?;
        self.bytes = reserved;
        Ok(())
    }

    /// Completes once the buffer has had to give way to others.
    pub async fn revoked(&self) {
        match &self.reservation {
            Some(reservation) => reservation.revoked().await,
            None => std::future::pending().await,
        }
    }

    /// As [`Self::revoked`], for implementations of streams.
    pub fn poll_revoked(&self, context: &mut Context<'_>) -> Poll<()> {
        match &self.reservation {
            Some(reservation) => reservation.poll_revoked(context),
            None => Poll::Pending,
        }
    }

    /// Declares the unit complete. Returns its reservation, if it has one.
    #[must_use]
    pub fn into_complete(self) -> Option<Reservation> {
        if let Some(reservation) = &self.reservation {
            reservation.complete();
        }
        self.reservation
    }
}

/// A growing buffer.
#[derive(Debug)]
pub struct BoundedBuffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    held: BufferReservation,
}

impl BoundedBuffer {
    /// Creates an empty buffer for at most `max_bytes`.
    #[must_use]
    pub fn new(
        budget: &Arc<MemoryBudget>,
        reader: Reader,
        source: Source,
        max_bytes: usize,
    ) -> Self {
        Self {
            bytes: Vec::new(),
            max_bytes,
            held: BufferReservation::new(budget, reader, source),
        }
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// See [`BufferError`].
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), BufferError> {
        let needed = self.bytes.len().saturating_add(bytes.len());
        if needed > self.max_bytes {
            return Err(BufferError::TooLarge);
        }
        if needed > self.bytes.capacity() {
            self.allocate(needed)?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Completes once the buffer has had to give way to others.
    pub async fn revoked(&self) {
        self.held.revoked().await;
    }

    /// Returns the complete unit, which no longer gives way.
    #[must_use]
    pub fn into_held(self) -> HeldBytes {
        HeldBytes::new(Bytes::from(self.bytes), self.held.into_complete())
    }

    fn allocate(&mut self, needed: usize) -> Result<(), BudgetError> {
        let grown = self.bytes.capacity() + self.bytes.capacity() / GROWTH_DIVISOR;
        let capacity = needed.max(grown).max(MIN_ALLOCATION).min(self.max_bytes);
        self.held.resize(capacity)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }
}
