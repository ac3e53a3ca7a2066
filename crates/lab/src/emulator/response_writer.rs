//! Writes one answer of the emulator at the pace of the cost model.

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
    Pieces,
    End,
    Over,
}

/// Writes one answer at the pace of the cost model.
pub(super) struct AnswerWriter {
    pub(super) state: Arc<BackendState>,
    pub(super) running: RunningExecution,
    pub(super) answer: AnswerText,
    pub(super) model: String,
    pub(super) work: EngineRun,
    pub(super) sequence: u64,
    pub(super) pieces: u64,
    pub(super) sent: u64,
    pub(super) stage: Stage,
    pub(super) stray: StraySwitch,
}

impl AnswerWriter {
    /// The answer as a stream of pieces.
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
            Stage::Pieces => Some(self.next_piece().await),
        }
    }

    async fn next_piece(&mut self) -> io::Result<Frame<Bytes>> {
        self.pace().await;
        if self.is_cut() {
            // As for a plain answer: the head and the pieces so far leave first.
            tokio::task::yield_now().await;
            return Err(io::Error::other("cut by a fault switch"));
        }
        let last = self.sequence + 1 >= self.pieces;
        let event = self.piece_event(last);
        self.sequence += 1;
        self.sent += 1;
        if last {
            self.stage = Stage::End;
        }
        Ok(Frame::data(Bytes::from(format!("data: {event}\n\n"))))
    }

    /// Waits for the next token; a dark backend waits until it is lit again.
    async fn pace(&mut self) {
        let tokens = u32::try_from(self.sent + 1).unwrap_or(u32::MAX);
        self.work.wait_for(tokens).await;
        let mut faults = self.state.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.dark).await;
    }

    fn is_cut(&self) -> bool {
        let cut_after = self.state.faults.borrow().cut_after;
        cut_after.is_some_and(|pieces| self.sent >= pieces)
    }

    fn arm_stray(&self) {
        if self.state.faults.borrow().stray_bytes {
            self.stray.arm();
        }
    }

    fn piece_event(&self, last: bool) -> Value {
        let finish = if last { json!("stop") } else { Value::Null };
        let mut event = json!({
            "id": format!("chatcmpl-{}", self.answer.run()),
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{
                "index": 0,
                "delta": {"content": self.answer.piece(self.sequence)},
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
            "completion_tokens": self.pieces,
        })
    }

    /// The whole answer in one body.
    pub(super) async fn plain(mut self) -> Response<EmulatorBody> {
        for _ in self.sequence..self.pieces {
            self.pace().await;
            self.sent += 1;
        }
        let body = json!({
            "id": format!("chatcmpl-{}", self.answer.run()),
            "object": "chat.completion",
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": self.answer.whole(self.pieces)},
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        });
        let cut = self.state.faults.borrow().cut_after.is_some();
        let mut response = json_answer(StatusCode::OK, &body);
        if cut {
            return cut_answer(&body);
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

/// The first half of an answer under the length of the whole.
fn cut_answer(body: &Value) -> Response<EmulatorBody> {
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
