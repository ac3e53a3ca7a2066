//! A buffer for a unit whose largest size is known from its start: it waits for room before it grows.

use std::sync::Arc;

use bytes::Bytes;

use crate::bounded_buffer::{BufferError, FREE_BYTES, HeldBytes};
use crate::memory_budget::{BudgetError, MemoryBudget, Reader, Reservation};

/// A buffer that is admitted to the budget of the process once it is larger than the fixed buffers of its connection.
#[derive(Debug)]
pub struct AdmittedBuffer {
    budget: Arc<MemoryBudget>,
    reader: Reader,
    bytes: Vec<u8>,
    max_bytes: usize,
    announced_bytes: Option<usize>,
    reservation: Option<Reservation>,
}

impl AdmittedBuffer {
    /// Creates an empty buffer for at most `max_bytes`. `announced_bytes` is the size of the unit if the peer announced it.
    #[must_use]
    pub fn new(
        budget: &Arc<MemoryBudget>,
        reader: Reader,
        max_bytes: usize,
        announced_bytes: Option<usize>,
    ) -> Self {
        Self {
            budget: Arc::clone(budget),
            reader,
            bytes: Vec::new(),
            max_bytes,
            announced_bytes,
            reservation: None,
        }
    }

    /// Appends bytes. Waits for room before the first ones that need a reservation, so that the peer is not read meanwhile.
    ///
    /// # Errors
    /// See [`BufferError`].
    pub async fn extend(&mut self, bytes: &[u8]) -> Result<(), BufferError> {
        let needed = self.bytes.len().saturating_add(bytes.len());
        let announced = self.announced_bytes.unwrap_or(self.max_bytes);
        if needed > self.max_bytes || announced > self.max_bytes {
            return Err(BufferError::TooLarge);
        }
        if needed > FREE_BYTES {
            self.reserve(announced.max(needed)).await?;
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Completes once the buffer has had to give way to others, because it received nothing for a time.
    pub async fn revoked(&self) {
        match &self.reservation {
            Some(reservation) => reservation.revoked().await,
            None => std::future::pending().await,
        }
    }

    /// Returns the complete unit, which no longer gives way.
    ///
    /// # Errors
    /// Fails if the buffer had to give way.
    pub fn into_held(mut self) -> Result<HeldBytes, BudgetError> {
        self.bytes.shrink_to_fit();
        if let Some(reservation) = &self.reservation {
            reservation.resize(self.bytes.len())?;
            reservation.complete();
        }
        Ok(HeldBytes::new(Bytes::from(self.bytes), self.reservation))
    }

    async fn reserve(&mut self, bytes: usize) -> Result<(), BudgetError> {
        if let Some(reservation) = &self.reservation {
            reservation.record_progress();
            return Ok(());
        }
        let reservation = self.budget.admit(self.reader, bytes).await;
        // All of the reserved room, since growth by doubling would exceed it.
        self.bytes.reserve_exact(bytes - self.bytes.len());
        self.reservation = Some(reservation);
        Ok(())
    }
}
