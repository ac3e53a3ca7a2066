//! An answer as its caller receives it.

use millford_core::{ResultCode, RunState};
use millford_proxy::request::caller::CallerHead;

use crate::history::{Chunk, RequestEnd};
use crate::world::backend::read_chunks;
use crate::world::injected_defect::InjectedDefect;

const OK: u16 = 200;
/// Start of an error event in a stream.
const ERROR_EVENT: &str = "event: error";
/// The end marker of a stream.
const END_MARKER: &str = "data: [DONE]";

/// The part of an answer that was sent to its caller so far.
#[derive(Clone, Debug, Default)]
pub struct ReceivedAnswer {
    /// HTTP status of the answer; 0 before the head.
    status: u16,
    revision: Option<u64>,
    body: String,
    /// Length of the parsed part of the body, in bytes.
    read: usize,
}

/// End of an answer, with the chunks that are only read from a complete body.
pub struct AnswerEnd {
    /// Chunks of a complete answer that is not a stream; else empty.
    pub chunks: Vec<Chunk>,
    /// Kind of end, as observed by the caller.
    pub end: RequestEnd,
    /// Configuration revision in the head; absent without a head.
    pub revision: Option<u64>,
}

impl ReceivedAnswer {
    /// Stores the status and the revision of the head.
    pub fn receive_head(&mut self, head: &CallerHead) {
        self.status = head.status;
        self.revision = Some(head.revision);
    }

    /// Stores a part of the body. Returns the chunks in it if the answer is a stream.
    pub fn receive_bytes(&mut self, bytes: &[u8], stream: bool) -> Vec<Chunk> {
        self.body.push_str(&String::from_utf8_lossy(bytes));
        if self.status != OK || !stream {
            return Vec::new();
        }
        let chunks = read_chunks(&self.body[self.read..]);
        self.read = self.body.len();
        chunks
    }

    /// Ends the answer; `complete` is whether the body was complete according to its framing.
    pub fn finish(
        &mut self,
        stream: bool,
        complete: bool,
        defect: Option<InjectedDefect>,
    ) -> AnswerEnd {
        let body = std::mem::take(&mut self.body);
        let end = self.end_of(stream, &body, complete);
        let end = inject_end_defect(defect, self.status, end);
        let unstreamed = !stream && self.status == OK;
        let chunks = if unstreamed && end == RequestEnd::Complete {
            read_chunks(&body)
        } else {
            Vec::new()
        };
        AnswerEnd {
            chunks,
            end,
            revision: self.revision,
        }
    }

    fn end_of(&self, stream: bool, body: &str, complete: bool) -> RequestEnd {
        if self.status == 0 {
            return RequestEnd::Lost;
        }
        if self.status != OK || body.contains(ERROR_EVENT) {
            return error_of(body);
        }
        let has_end = !stream || body.contains(END_MARKER);
        if complete && has_end {
            RequestEnd::Complete
        } else {
            RequestEnd::Lost
        }
    }
}

fn error_of(body: &str) -> RequestEnd {
    let json = match body.split_once(ERROR_EVENT) {
        Some((_, rest)) => rest.split_once("data: ").map_or("", |(_, data)| data),
        None => body,
    };
    let line = json.lines().next().unwrap_or_default();
    let value: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
    let number = value["error"]["code"].as_u64().unwrap_or_default();
    let code = u32::try_from(number).ok().and_then(ResultCode::from_number);
    let run = match value["error"]["run"].as_str() {
        Some("not_run") => RunState::NotRun,
        _ => RunState::MayHaveRun,
    };
    match code {
        Some(code) => RequestEnd::Refused { code, run },
        None => RequestEnd::Lost,
    }
}

/// Injected defects: falsifies the end of an answer.
fn inject_end_defect(defect: Option<InjectedDefect>, status: u16, end: RequestEnd) -> RequestEnd {
    match (defect, end) {
        (Some(InjectedDefect::FalseNotRun), RequestEnd::Refused { code, .. }) => {
            RequestEnd::Refused {
                code,
                run: RunState::NotRun,
            }
        }
        (Some(InjectedDefect::FalseCompletion), _) if status == OK => RequestEnd::Complete,
        _ => end,
    }
}

/// Injected defects: falsifies a chunk, or drops it.
#[must_use]
pub fn inject_chunk_defect(defect: Option<InjectedDefect>, mut chunk: Chunk) -> Option<Chunk> {
    match defect {
        Some(InjectedDefect::SwappedContent) => chunk.content.0 += 1,
        Some(InjectedDefect::SkippedChunk) if chunk.sequence == 2 => return None,
        _ => {}
    }
    Some(chunk)
}
