//! An answer as its caller receives it.

use millford_core::{ResultCode, RunState};
use millford_proxy::request::caller::CallerHead;

use crate::history::{Chunk, RequestEnd};
use crate::world::backend::read_chunks;
use crate::world::defect::Defect;

const OK: u16 = 200;
/// Start of an error event in a stream.
const ERROR_EVENT: &str = "event: error";
/// The end marker of a stream.
const END_MARKER: &str = "data: [DONE]";

/// What a caller received of an answer so far.
#[derive(Clone, Debug, Default)]
pub struct ReceivedAnswer {
    /// Status of the head, 0 before it arrived.
    status: u16,
    revision: Option<u64>,
    body: String,
    /// Bytes of the body whose chunks were read.
    read: usize,
}

/// How an answer ended, with the chunks that only the complete body shows.
pub struct AnswerEnd {
    /// Chunks of an answer that is no stream.
    pub chunks: Vec<Chunk>,
    /// The end.
    pub end: RequestEnd,
    /// Revision that the head named.
    pub revision: Option<u64>,
}

impl ReceivedAnswer {
    /// The head arrived.
    pub fn receive_head(&mut self, head: &CallerHead) {
        self.status = head.status;
        self.revision = Some(head.revision);
    }

    /// Bytes of the body arrived. Returns the chunks in them if the answer is a stream.
    pub fn receive_bytes(&mut self, bytes: &[u8], stream: bool) -> Vec<Chunk> {
        self.body.push_str(&String::from_utf8_lossy(bytes));
        if self.status != OK || !stream {
            return Vec::new();
        }
        let chunks = read_chunks(&self.body[self.read..]);
        self.read = self.body.len();
        chunks
    }

    /// The connection delivers no more; `complete` is whether the body ended by its framing.
    pub fn finish(&mut self, stream: bool, complete: bool, defect: Option<Defect>) -> AnswerEnd {
        let body = std::mem::take(&mut self.body);
        let end = self.end_of(stream, &body, complete);
        let end = planted_end(defect, self.status, end);
        let at_once = !stream && self.status == OK;
        let chunks = if at_once && end == RequestEnd::Complete {
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

/// Planted defects: ends that are not what the proxy said.
fn planted_end(defect: Option<Defect>, status: u16, end: RequestEnd) -> RequestEnd {
    match (defect, end) {
        (Some(Defect::DeniesRuns), RequestEnd::Refused { code, .. }) => RequestEnd::Refused {
            code,
            run: RunState::NotRun,
        },
        (Some(Defect::HidesTruncation), _) if status == OK => RequestEnd::Complete,
        _ => end,
    }
}

/// Planted defects: chunks that are not what the proxy sent.
#[must_use]
pub fn planted_chunk(defect: Option<Defect>, mut chunk: Chunk) -> Option<Chunk> {
    match defect {
        Some(Defect::SwapsAnswers) => chunk.content.0 += 1,
        Some(Defect::SkipsChunks) if chunk.sequence == 2 => return None,
        _ => {}
    }
    Some(chunk)
}
