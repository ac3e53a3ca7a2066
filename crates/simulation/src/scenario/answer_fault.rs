//! Ways in which backends answer wrongly.

/// A fault in the answers of backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// Answers take seconds longer.
    Late,
    /// An answer goes to another request that is open on the backend.
    Crossed,
    /// Chunks of another run appear within a stream.
    Stray,
    /// Answers end before their end marker.
    Truncated,
    /// The answer of a request that ran is lost with its connection.
    Lost,
    /// A chunk of a stream comes twice, or one is left out.
    Skipped,
}

impl AnswerFault {
    /// Every kind, for draws.
    pub const ALL: [AnswerFault; 6] = [
        AnswerFault::Late,
        AnswerFault::Crossed,
        AnswerFault::Stray,
        AnswerFault::Truncated,
        AnswerFault::Lost,
        AnswerFault::Skipped,
    ];

    /// The kind with this keyword of the scenario files.
    #[must_use]
    pub fn from_keyword(token: &str) -> Option<Self> {
        Some(match token {
            "late" => AnswerFault::Late,
            "crossed" => AnswerFault::Crossed,
            "stray" => AnswerFault::Stray,
            "cut" => AnswerFault::Truncated,
            "lost" => AnswerFault::Lost,
            "skipped" => AnswerFault::Skipped,
            _ => return None,
        })
    }
}
