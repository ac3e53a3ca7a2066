//! Handles `POST /v1/chat/completions` of the emulator.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use tokio::time::sleep;

use super::endless::endless_body;
use super::execution::Execution;
use super::faults::EndlessPart;
use super::http::{EmulatorBody, header_text, refusal, set_attempt};
use super::prompt::Prompt;
use super::response_writer::{ResponseWriter, Stage};
use super::shared_stream::StraySwitch;
use super::state::BackendState;
use crate::answer_text::AnswerText;
use crate::protocol::{
    ATTEMPT_HEADER, RESUME_AT_HEADER, RESUME_FROM_HEADER, RUN_HEADER, machine_micros,
};

/// Status of the response to a withdrawn or repeated attempt.
const ATTEMPT_CLOSED: StatusCode = StatusCode::SERVICE_UNAVAILABLE;
/// Attempt id, marker and run of a crossed response.
const CROSSED: &str = "crossed-with-another";

/// Runs one completion and returns its response, which is a refusal if no work was done.
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
    let remaining = prompt
        .chunks()
        .saturating_sub(resume_from.unwrap_or(0))
        .max(1);
    let output_tokens = u32::try_from(remaining).unwrap_or(u32::MAX);
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
    let has_endless_body = state.faults.borrow().endless == Some(EndlessPart::Body);
    let answer = if crossed {
        AnswerText::new(CROSSED, CROSSED)
    } else {
        answer
    };
    let echoed = if crossed { CROSSED } else { &attempt };
    let writer = ResponseWriter {
        sequence: resume_from.unwrap_or(0),
        chunks: prompt.chunks(),
        model: prompt.model.clone(),
        state: Arc::clone(&state),
        sent: 0,
        stage: Stage::Chunks,
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
    if has_endless_body {
        *response.body_mut() = endless_body();
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
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
