//! `POST /v1/chat/completions` of the emulator.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::engine::EngineRun;
use super::execution::Execution;
use super::http::{EmulatorBody, header_text, json_answer, refusal, set_attempt};
use super::prompt::Prompt;
use super::shared_stream::StraySwitch;
use super::state::{BackendState, RunningExecution};
use crate::answer_text::AnswerText;
use crate::protocol::{
    ATTEMPT_HEADER, RESUME_AT_HEADER, RESUME_FROM_HEADER, RUN_HEADER, machine_micros,
};

/// Status of a withdrawn or repeated attempt.
const ATTEMPT_CLOSED: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
/// Text of an answer that was crossed with another.
const CROSSED: &str = "crossed-with-another";

/// Runs one completion.
pub async fn complete(
    state: Arc<BackendState>,
    headers: HeaderMap,
    body: Bytes,
    stray: StraySwitch,
) -> Response<EmulatorBody> {
    let attempt = header_text(&headers, ATTEMPT_HEADER);
    let prompt = match serde_json::from_slice::<Prompt>(&body) {
        Ok(prompt) => prompt,
        Err(error) => {
            return refusal(
                StatusCode::SERVICE_UNAVAILABLE,
                &attempt,
                &error.to_string(),
            );
        }
    };
    if !declares(&state, &prompt.model) {
        return refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            &attempt,
            "model not declared here",
        );
    }
    if state.faults.borrow().refuse {
        return refusal(StatusCode::SERVICE_UNAVAILABLE, &attempt, "refusing");
    }
    let resume_from = header_text(&headers, RESUME_FROM_HEADER)
        .parse::<u64>()
        .ok();
    let execution = execution(&state, &headers, &prompt, resume_from.unwrap_or(0));
    let answer = AnswerText::new(&execution.marker, &execution.run);
    let left = prompt
        .pieces()
        .saturating_sub(resume_from.unwrap_or(0))
        .max(1);
    let output_tokens = u32::try_from(left).unwrap_or(u32::MAX);
    let mut work = match state
        .engine
        .start(&prompt.model, &prompt.text(), output_tokens)
    {
        Ok(work) => work,
        Err(refused) => {
            return refusal(
                StatusCode::SERVICE_UNAVAILABLE,
                &attempt,
                &refused.to_string(),
            );
        }
    };
    let Some(running) = state.begin(execution) else {
        return refusal(ATTEMPT_CLOSED, &attempt, "attempt withdrawn or already run");
    };
    work.wait_for(1).await;
    let crossed = state.faults.borrow().crossed;
    let answer = if crossed {
        AnswerText::new(CROSSED, CROSSED)
    } else {
        answer
    };
    let echoed = if crossed { CROSSED } else { &attempt };
    let writer = AnswerWriter {
        sequence: resume_from.unwrap_or(0),
        pieces: prompt.pieces(),
        model: prompt.model.clone(),
        state: Arc::clone(&state),
        sent: 0,
        stage: Stage::Pieces,
        answer,
        running,
        work,
        stray,
    };
    let mut response = if prompt.stream {
        writer.stream()
    } else {
        writer.plain().await
    };
    set_attempt(response.headers_mut(), echoed);
    if let Some(resume_from) = resume_from {
        response
            .headers_mut()
            .insert(RESUME_AT_HEADER, HeaderValue::from(resume_from));
    }
    let late = state.faults.borrow().late_ms;
    sleep(std::time::Duration::from_millis(late)).await;
    response
}

fn declares(state: &BackendState, model: &str) -> bool {
    let declarations = &state.options.declarations;
    declarations.is_empty() || declarations.iter().any(|declared| declared.model == model)
}

fn execution(
    state: &BackendState,
    headers: &HeaderMap,
    prompt: &Prompt,
    resume_from: u64,
) -> Execution {
    Execution {
        backend: state.options.id.clone(),
        attempt: header_text(headers, ATTEMPT_HEADER),
        run: header_text(headers, RUN_HEADER),
        marker: prompt.marker(),
        model: prompt.model.clone(),
        resume_from,
        started_micros: machine_micros(),
        ended_micros: None,
        end: None,
        saw_credential: headers.contains_key(header::AUTHORIZATION),
    }
}

/// What the writer sends next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Pieces,
    End,
    Over,
}

/// Writes one answer at the pace of the cost model.
struct AnswerWriter {
    state: Arc<BackendState>,
    running: RunningExecution,
    answer: AnswerText,
    model: String,
    work: EngineRun,
    sequence: u64,
    pieces: u64,
    sent: u64,
    stage: Stage,
    stray: StraySwitch,
}

impl AnswerWriter {
    fn stream(self) -> Response<EmulatorBody> {
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

    async fn plain(mut self) -> Response<EmulatorBody> {
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
