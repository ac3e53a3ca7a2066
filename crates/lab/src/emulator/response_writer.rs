//! Writes one completion response with the timing of the cost model.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::{Value, json};

use super::engine::EngineRun;
use super::http::{EmulatorBody, json_response};
use super::shared_stream::StraySwitch;
use super::state::{BackendState, RunningExecution};
use crate::answer_text::AnswerText;

/// Next part of a streamed response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Chunks,
    End,
    Finished,
}

/// Writes one completion response with the timing of the cost model.
pub(super) struct ResponseWriter {
    pub(super) state: Arc<BackendState>,
    pub(super) running: RunningExecution,
    pub(super) answer: AnswerText,
    pub(super) model: String,
    pub(super) work: EngineRun,
    pub(super) sequence: u64,
    pub(super) chunks: u64,
    pub(super) sent: u64,
    pub(super) stage: Stage,
    pub(super) stray: StraySwitch,
}

impl ResponseWriter {
    /// Returns the response as a stream of chunks.
    pub(super) fn stream(self) -> Response<EmulatorBody> {
        let frames = stream::unfold(self, |mut writer| async move {
            let frame = writer.next_frame().await?;
            Some((frame, writer))
        });
        let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        response
    }

    async fn next_frame(&mut self) -> Option<io::Result<Frame<Bytes>>> {
        match self.stage {
            Stage::Finished => {
                self.arm_stray();
                None
            }
            Stage::End => {
                self.stage = Stage::Finished;
                self.running.complete();
                Some(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))))
            }
            Stage::Chunks => Some(self.next_chunk().await),
        }
    }

    async fn next_chunk(&mut self) -> io::Result<Frame<Bytes>> {
        self.wait_for_next_token().await;
        if self.is_truncated() {
            // As in `truncated_response`: lets the server send the head and the chunks so far first.
            tokio::task::yield_now().await;
            return Err(io::Error::other("response truncated by a fault switch"));
        }
        let last = self.sequence + 1 >= self.chunks;
        let event = self.chunk_event(last);
        self.sequence += 1;
        self.sent += 1;
        if last {
            self.stage = Stage::End;
        }
        Ok(Frame::data(Bytes::from(format!("data: {event}\n\n"))))
    }

    /// Waits until the next token is due and, on an unresponsive backend, until the switch is cleared.
    async fn wait_for_next_token(&mut self) {
        let tokens = u32::try_from(self.sent + 1).unwrap_or(u32::MAX);
        self.work.wait_for(tokens).await;
        let mut faults = self.state.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.unresponsive).await;
    }

    fn is_truncated(&self) -> bool {
        let truncate_after = self.state.faults.borrow().truncate_after;
        truncate_after.is_some_and(|chunks| self.sent >= chunks)
    }

    fn arm_stray(&self) {
        if self.state.faults.borrow().stray_bytes {
            self.stray.arm();
        }
    }

    fn chunk_event(&self, last: bool) -> Value {
        let finish = if last { json!("stop") } else { Value::Null };
        let mut event = json!({
            "id": format!("chatcmpl-{}", self.answer.run()),
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{
                "index": 0,
                "delta": {"content": self.answer.chunk(self.sequence)},
                "finish_reason": finish,
            }],
            "millford": {"run": self.answer.run(), "seq": self.sequence},
        });
        if last {
            event["usage"] = self.usage();
        }
        event
    }

    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.work.prompt_tokens,
            "cached_tokens": self.work.started.cached_tokens,
            "completion_tokens": self.chunks,
        })
    }

    /// Returns the complete response in one JSON body after its last token.
    pub(super) async fn plain(mut self) -> Response<EmulatorBody> {
        for _ in self.sequence..self.chunks {
            self.wait_for_next_token().await;
            self.sent += 1;
        }
        let body = json!({
            "id": format!("chatcmpl-{}", self.answer.run()),
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.answer.full_text(self.chunks)},
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        });
        let truncated = self.state.faults.borrow().truncate_after.is_some();
        let mut response = json_response(StatusCode::OK, &body);
        if truncated {
            return truncated_response(&body);
        }
        self.running.complete();
        if self.state.faults.borrow().stray_bytes {
            let _ = response
                .headers_mut()
                .insert(header::CONTENT_LENGTH, length_of(&body));
            *response.body_mut() = stray_body(&body, self.stray.clone());
        }
        response
    }
}

fn length_of(body: &Value) -> HeaderValue {
    HeaderValue::from(body.to_string().len())
}

/// Returns a body with one frame that also arms the stray bytes.
fn stray_body(body: &Value, stray: StraySwitch) -> EmulatorBody {
    let bytes = Bytes::from(body.to_string());
    let frames = stream::once(async move {
        stray.arm();
        Ok(Frame::data(bytes))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// Returns a response with the content length of the complete body that fails after half of the bytes.
fn truncated_response(body: &Value) -> Response<EmulatorBody> {
    let text = body.to_string().into_bytes();
    let half = Bytes::copy_from_slice(&text[..text.len() / 2]);
    let truncated = stream::once(async {
        // The server flushes its buffer while the body is pending, so the first half is sent before the error.
        tokio::task::yield_now().await;
        Err(io::Error::other("response truncated by a fault switch"))
    });
    let frames = stream::iter([Ok(Frame::data(half))]).chain(truncated);
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, length_of(body));
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
