//! Writes one response of the emulator at the pace of the cost model.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::{Value, json};

use super::engine::EngineRun;
use super::http::{EmulatorBody, json_answer};
use super::shared_stream::StraySwitch;
use super::state::{BackendState, RunningExecution};
use crate::answer_text::AnswerText;

/// What the writer sends next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Chunks,
    End,
    Over,
}

/// Writes one response at the pace of the cost model.
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
    /// The response as a stream of chunks.
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
            Stage::Over => {
                self.arm_stray();
                None
            }
            Stage::End => {
                self.stage = Stage::Over;
                self.running.complete();
                Some(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))))
            }
            Stage::Chunks => Some(self.next_chunk().await),
        }
    }

    async fn next_chunk(&mut self) -> io::Result<Frame<Bytes>> {
        self.pace().await;
        if self.is_truncated() {
            // As for a plain response: the head and the chunks so far leave first.
            tokio::task::yield_now().await;
            return Err(io::Error::other("cut by a fault switch"));
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

    /// Waits for the next token; an unresponsive backend waits until the switch is cleared.
    async fn pace(&mut self) {
        let tokens = u32::try_from(self.sent + 1).unwrap_or(u32::MAX);
        self.work.wait_for(tokens).await;
        let mut faults = self.state.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.dark).await;
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

    /// The complete response in one body.
    pub(super) async fn plain(mut self) -> Response<EmulatorBody> {
        for _ in self.sequence..self.chunks {
            self.pace().await;
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
        let cut = self.state.faults.borrow().truncate_after.is_some();
        let mut response = json_answer(StatusCode::OK, &body);
        if cut {
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

/// A body that arms the stray bytes with its only frame.
fn stray_body(body: &Value, stray: StraySwitch) -> EmulatorBody {
    let bytes = Bytes::from(body.to_string());
    let frames = stream::once(async move {
        stray.arm();
        Ok(Frame::data(bytes))
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

/// The first half of a response under the length of the complete body.
fn truncated_response(body: &Value) -> Response<EmulatorBody> {
    let text = body.to_string().into_bytes();
    let half = Bytes::copy_from_slice(&text[..text.len() / 2]);
    let cut = stream::once(async {
        // The server sends what it holds while a body is pending, so the half leaves first.
        tokio::task::yield_now().await;
        Err(io::Error::other("cut by a fault switch"))
    });
    let frames = stream::iter([Ok(Frame::data(half))]).chain(cut);
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_LENGTH, length_of(body));
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
