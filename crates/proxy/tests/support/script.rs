//! Scripts that determine how a backend answers one attempt.

use bytes::Bytes;
use millford_core::Duration;
use millford_proxy::request::message::{AnswerError, AnswerHead, Framing};

/// One step in sending a body.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Waits for this time.
    Wait(Duration),
    /// Sends a chunk of the attempt's run with this sequence number.
    Chunk(u64),
    /// Sends a chunk of this run with this sequence number.
    ChunkOfRun(String, u64),
    /// Sends these bytes.
    Raw(Bytes),
    /// Sends the end marker.
    Done,
    /// Ends the body with this error.
    Fail(AnswerError),
    /// Sends nothing more and keeps the connection open.
    Inactivity,
}

/// How a backend answers one attempt.
#[derive(Clone, Debug)]
pub(crate) enum Script {
    /// Accepts no connection.
    RefuseConnection,
    /// Receives the request, then closes the connection before the head.
    LoseBeforeHead,
    /// Receives the request and never answers.
    NeverAnswer,
    /// Sends this answer.
    Answer(AnswerScript),
}

/// An answer: the head after a delay, then the steps, then the end of the body.
#[derive(Clone, Debug)]
pub(crate) struct AnswerScript {
    pub(crate) delay: Duration,
    pub(crate) status: u16,
    pub(crate) not_run: bool,
    /// Whether the head echoes another attempt's id.
    pub(crate) attempt_mismatch: bool,
    /// Sequence number to confirm; if absent, the requested one is confirmed.
    pub(crate) resume_at: Option<u64>,
    pub(crate) framing: Framing,
    pub(crate) steps: Vec<Step>,
}

impl AnswerScript {
    /// Creates a successful answer with these steps, 20 ms after the request.
    pub(crate) fn new(steps: Vec<Step>) -> Self {
        Self {
            delay: Duration::from_millis(20),
            status: 200,
            not_run: false,
            attempt_mismatch: false,
            resume_at: None,
            framing: Framing::Chunked,
            steps,
        }
    }

    /// Returns the head of the answer to an attempt.
    pub(crate) fn head(&self, attempt: &str, resume_from: Option<u64>) -> AnswerHead {
        let echoed = if self.attempt_mismatch {
            "another"
        } else {
            attempt
        };
        AnswerHead {
            status: self.status,
            attempt: Some(echoed.to_owned()),
            not_run: self.not_run,
            resume_at: self.resume_at.or(resume_from),
            retry_after_ms: None,
            content_type: "application/json".to_owned(),
            framing: self.framing,
        }
    }
}

/// Returns steps that send these chunks 10 ms apart, without an end marker.
pub(crate) fn chunks(sequences: std::ops::Range<u64>) -> Vec<Step> {
    let steps = sequences
        .flat_map(|sequence| [Step::Wait(Duration::from_millis(10)), Step::Chunk(sequence)]);
    steps.collect()
}

/// Scripts a complete stream of `count` chunks from number `first` on.
pub(crate) fn complete_stream(first: u64, count: u64) -> Script {
    stream(chunks(first..first + count), Step::Done)
}

/// Scripts a stream with these steps and this last step.
pub(crate) fn stream(mut steps: Vec<Step>, end: Step) -> Script {
    steps.push(end);
    Script::Answer(AnswerScript::new(steps))
}

/// Scripts a complete plain answer with status 200.
pub(crate) fn plain(body: &str) -> Script {
    let steps = vec![Step::Raw(Bytes::copy_from_slice(body.as_bytes()))];
    Script::Answer(AnswerScript {
        framing: Framing::Length(body.len() as u64),
        ..AnswerScript::new(steps)
    })
}

/// Scripts an answer with this status and no body.
pub(crate) fn status(status: u16, not_run: bool) -> Script {
    Script::Answer(AnswerScript {
        status,
        not_run,
        ..AnswerScript::new(Vec::new())
    })
}
