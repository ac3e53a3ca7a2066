//! Faults in the answers of backends.

/// A way in which a backend's answer is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// The answer is delayed by seconds.
    Late,
    /// The answer is that of another recent run.
    Crossed,
    /// A stream contains a chunk of another run.
    Stray,
    /// The answer ends before its end marker.
    Truncated,
    /// The request runs, but its connection closes before any of the answer is sent.
    Lost,
    /// A chunk of a stream is repeated or left out.
    Skipped,
    /// An event of a stream, or a plain answer, is larger than any limit.
    Endless,
}

impl AnswerFault {
    /// Every answer fault, for random draws.
    pub const ALL: [AnswerFault; 7] = [
        AnswerFault::Late,
        AnswerFault::Crossed,
        AnswerFault::Stray,
        AnswerFault::Truncated,
        AnswerFault::Lost,
        AnswerFault::Skipped,
        AnswerFault::Endless,
    ];

    /// Returns the answer fault that a keyword of the scenario files stands for.
    #[must_use]
    pub fn from_keyword(token: &str) -> Option<Self> {
        Some(match token {
            "late" => AnswerFault::Late,
            "crossed" => AnswerFault::Crossed,
            "stray" => AnswerFault::Stray,
            "cut" => AnswerFault::Truncated,
            "lost" => AnswerFault::Lost,
            "skipped" => AnswerFault::Skipped,
            "endless" => AnswerFault::Endless,
            _ => return None,
        })
    }
}
