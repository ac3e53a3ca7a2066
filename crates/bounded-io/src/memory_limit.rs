//! Derives the bounds of a process from the memory that it may use.

/// Bytes of a megabyte of the settings.
const MEGABYTE: usize = 1024 * 1024;
/// Parts of the memory are counted in sixteenths.
const PARTS: usize = 16;
/// Part of the memory for what is held for one kind of peers until a unit is complete: backends, or operators.
const BUFFER_PARTS: usize = 2;
/// The same for bodies of callers, which are held until their request has its answer.
const CALLER_BODY_PARTS: usize = 3;
/// The same for frames of the internal protocol.
const FRAME_PARTS: usize = 4;
/// Part of the memory for the fixed buffers of callers' connections.
const CONNECTION_PARTS: usize = 8;
/// Fixed buffers of one exchange, in bytes: those of both connections, a block between them and a small request body.
const EXCHANGE_BYTES: usize = 80 * 1024;
/// Part of the memory for operators' bodies that one body may take, as a divisor.
const OPERATOR_BODY_DIVISOR: usize = 4;
/// Part of the memory for frames that one frame may take, as a divisor, so that it does not displace all others.
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

    /// Most bytes of bodies that are held for callers: three sixteenths of the memory.
    #[must_use]
    pub fn caller_body_bytes(self) -> usize {
        self.parts(CALLER_BODY_PARTS)
    }

    /// Most bytes of answers that are held of backends, or of bodies of operators: an eighth of the memory.
    #[must_use]
    pub fn buffer_bytes(self) -> usize {
        self.parts(BUFFER_PARTS)
    }

    /// Largest body of an operator's request: a quarter of what all of them may take, since a parsed body takes several
    /// times its size.
    #[must_use]
    pub fn operator_body_bytes(self) -> usize {
        self.buffer_bytes() / OPERATOR_BODY_DIVISOR
    }

    /// Most bytes of frames that are held at a time: a quarter of the memory.
    #[must_use]
    pub fn frame_bytes(self) -> usize {
        self.parts(FRAME_PARTS)
    }

    /// Most connections of callers whose fixed buffers fit into half of the memory.
    #[must_use]
    pub fn max_connections(self) -> usize {
        (self.parts(CONNECTION_PARTS) / EXCHANGE_BYTES).max(1)
    }

    /// Largest frame of the internal protocol: half of what all frames may take.
    #[must_use]
    pub fn max_frame_bytes(self) -> usize {
        self.frame_bytes() / FRAME_DIVISOR
    }

    fn parts(self, parts: usize) -> usize {
        self.megabytes.saturating_mul(MEGABYTE) / PARTS * parts
    }
}
