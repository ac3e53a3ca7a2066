//! What a backend may send too much of.

/// A unit of a backend's answer that is larger than its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Excess {
    /// The head, with the interim answers before it.
    Head,
    /// An event of a stream.
    Event,
    /// An answer that is not a stream.
    Answer,
    /// Chunk sizes, chunk extensions and trailers.
    Framing,
}

impl Excess {
    /// Returns the name used in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Event => "event",
            Self::Answer => "answer",
            Self::Framing => "framing",
        }
    }
}
