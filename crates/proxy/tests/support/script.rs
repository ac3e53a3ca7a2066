//! What a scripted backend does with one attempt.

use bytes::Bytes;
use millford_core::Duration;
use millford_proxy::request::message::{AnswerError, AnswerHead, Framing};

/// One step of a body.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Time passes.
    Wait(Duration),
    /// A chunk with this sequence number; the run is the attempt's.
    Chunk(u64),
    /// A chunk of this run with this sequence number.
    ChunkOfRun(String, u64),
    /// These bytes.
    Raw(Bytes),
    /// The end marker.
    Done,
    /// The connection breaks.
    Disconnected(AnswerError),
    /// Nothing more ever comes.
    Inactivity,
}

/// What a scripted backend does with one attempt.
#[derive(Clone, Debug)]
pub(crate) enum Script {
    /// No connection.
    RefuseConnection,
    /// The connection breaks before the head.
    LoseBeforeHead,
    /// No head ever comes.
    NeverAnswer,
    /// An answer.
    Answer(AnswerScript),
}

/// An answer: head after a delay, then the steps, then the end of the body.
#[derive(Clone, Debug)]
pub(crate) struct AnswerScript {
    pub(crate) delay: Duration,
    pub(crate) status: u16,
    pub(crate) not_run: bool,
    /// Another attempt's id instead of this one's.
    pub(crate) crossed: bool,
    /// Confirms another sequence number than the wanted one.
    pub(crate) resume_at: Option<u64>,
    pub(crate) framing: Framing,
    pub(crate) steps: Vec<Step>,
}

impl AnswerScript {
    /// An answer with these steps.
    pub(crate) fn new(steps: Vec<Step>) -> Self {
        Self {
            delay: Duration::from_millis(20),
            status: 200,
            not_run: false,
            crossed: false,
            resume_at: None,
            framing: Framing::Chunked,
            steps,
        }
    }

    /// The head of the answer to an attempt.
    pub(crate) fn head(&self, attempt: &str, resume_from: Option<u64>) -> AnswerHead {
        let echoed = if self.crossed { "another" } else { attempt };
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

/// A stream of these chunks without an end marker, 10 ms apart.
pub(crate) fn chunks(sequences: std::ops::Range<u64>) -> Vec<Step> {
    let steps = sequences
        .flat_map(|sequence| [Step::Wait(Duration::from_millis(10)), Step::Chunk(sequence)]);
    steps.collect()
}

/// A whole stream of `count` chunks from `first` on.
pub(crate) fn complete_stream(first: u64, count: u64) -> Script {
    stream(chunks(first..first + count), Step::Done)
}

/// A stream with another end.
pub(crate) fn stream(mut steps: Vec<Step>, end: Step) -> Script {
    steps.push(end);
    Script::Answer(AnswerScript::new(steps))
}

/// A complete plain answer.
pub(crate) fn plain(body: &str) -> Script {
    let steps = vec![Step::Raw(Bytes::copy_from_slice(body.as_bytes()))];
    Script::Answer(AnswerScript {
        framing: Framing::Length(body.len() as u64),
        ..AnswerScript::new(steps)
    })
}

/// An answer with this status and no body.
pub(crate) fn status(status: u16, not_run: bool) -> Script {
    Script::Answer(AnswerScript {
        status,
        not_run,
        ..AnswerScript::new(Vec::new())
    })
}
