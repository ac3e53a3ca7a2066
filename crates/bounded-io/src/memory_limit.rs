//! Derives the bounds of a process from the memory that it may use.

/// Bytes of a megabyte of the settings.
const MEGABYTE: usize = 1024 * 1024;
/// Part of the memory for what readers hold until a unit is complete, as a divisor.
const BUFFERS_DIVISOR: usize = 4;
/// Part of the memory for the fixed buffers of connections, as a divisor.
const CONNECTIONS_DIVISOR: usize = 2;
/// Fixed buffers of one exchange, in bytes: those of both connections, a block between them and a small request body.
const EXCHANGE_BYTES: usize = 80 * 1024;
/// Part of the buffers that one frame may take, as a divisor, so that a frame does not displace all others.
const FRAME_DIVISOR: usize = 2;

/// Memory that the process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimit {
    megabytes: usize,
}

impl MemoryLimit {
    /// Creates the limit from a setting in megabytes.
    #[must_use]
    pub fn of_megabytes(megabytes: u64) -> Self {
        Self {
            megabytes: usize::try_from(megabytes).unwrap_or(usize::MAX),
        }
    }

    /// Most bytes that all readers together hold for their peers: a quarter of the memory.
    #[must_use]
    pub fn buffer_bytes(self) -> usize {
        self.bytes() / BUFFERS_DIVISOR
    }

    /// Most connections of callers whose fixed buffers fit into half of the memory.
    #[must_use]
    pub fn max_connections(self) -> usize {
        (self.bytes() / CONNECTIONS_DIVISOR / EXCHANGE_BYTES).max(1)
    }

    /// Largest frame of the internal protocol: half of what all readers may hold.
    #[must_use]
    pub fn frame_bytes(self) -> usize {
        self.buffer_bytes() / FRAME_DIVISOR
    }

    fn bytes(self) -> usize {
        self.megabytes.saturating_mul(MEGABYTE)
    }
}
