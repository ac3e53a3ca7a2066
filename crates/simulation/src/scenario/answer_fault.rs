//! Ways in which backends answer wrongly.

/// A fault in the answers of backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// Answers take seconds longer.
    Late,
    /// An answer goes to another request that is open on the backend.
    Crossed,
    /// Pieces of another run appear within a stream.
    Stray,
    /// Answers end before their end marker.
    Cut,
    /// The answer of a request that ran is lost with its connection.
    Lost,
    /// A piece of a stream comes twice, or one is left out.
    Skipped,
}

impl AnswerFault {
    /// Every kind, for draws.
    pub const ALL: [AnswerFault; 6] = [
        AnswerFault::Late,
        AnswerFault::Crossed,
        AnswerFault::Stray,
        AnswerFault::Cut,
        AnswerFault::Lost,
        AnswerFault::Skipped,
    ];

    /// The kind with this word.
    #[must_use]
    pub fn from_word(word: &str) -> Option<Self> {
        Some(match word {
            "late" => AnswerFault::Late,
            "crossed" => AnswerFault::Crossed,
            "stray" => AnswerFault::Stray,
            "cut" => AnswerFault::Cut,
            "lost" => AnswerFault::Lost,
            "skipped" => AnswerFault::Skipped,
            _ => return None,
        })
    }
}
