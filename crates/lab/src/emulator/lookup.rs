//! `GET` lookups of the emulator.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Response, StatusCode, Uri, header};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::execution::Execution;
use super::http::{EmulatorBody, header_text, json_answer, refusal, set_attempt};
use super::state::BackendState;
use crate::answer_text::AnswerText;
use crate::protocol::{ATTEMPT_HEADER, RUN_HEADER, machine_micros};

/// Query parameter that carries the marker of a lookup.
pub const MARKER_PARAMETER: &str = "request=";
/// Model name of lookups in the execution log.
pub const LOOKUP_MODEL: &str = "lookup";
/// Time of one lookup.
const LOOKUP_TIME: Duration = Duration::from_millis(1);

/// Body of a lookup's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// Path that was looked up.
    pub path: String,
    /// Marker of the request.
    pub marker: String,
    /// The entry's text, a function of path and marker.
    pub entry: String,
}

impl LookupAnswer {
    /// The response to `path` with `marker`.
    #[must_use]
    pub fn new(path: &str, marker: &str) -> Self {
        let entry = AnswerText::new(marker, path).full_text(4);
        Self {
            path: path.to_owned(),
            marker: marker.to_owned(),
            entry,
        }
    }
}

/// Runs one lookup.
pub async fn look_up(
    state: Arc<BackendState>,
    headers: HeaderMap,
    uri: Uri,
) -> Response<EmulatorBody> {
    let attempt = header_text(&headers, ATTEMPT_HEADER);
    let faults = state.faults.borrow().clone();
    if faults.refuse {
        return refusal(StatusCode::SERVICE_UNAVAILABLE, &attempt, "refusing");
    }
    let marker = marker_of(&uri);
    let Some(mut running) = state.begin(execution(&state, &headers, &marker)) else {
        return refusal(
            StatusCode::CONFLICT,
            &attempt,
            "attempt withdrawn or already run",
        );
    };
    sleep(state.scaled(LOOKUP_TIME) + Duration::from_millis(faults.late_ms)).await;
    running.complete();
    let crossed = faults.crossed;
    let marker = if crossed { "crossed" } else { &marker };
    let mut response = json_answer(StatusCode::OK, &LookupAnswer::new(uri.path(), marker));
    set_attempt(
        response.headers_mut(),
        if crossed { "crossed" } else { &attempt },
    );
    response
}

fn marker_of(uri: &Uri) -> String {
    let parameters = uri.query().unwrap_or_default().split('&');
    let mut markers = parameters.filter_map(|part| part.strip_prefix(MARKER_PARAMETER));
    markers.next().unwrap_or_default().to_owned()
}

fn execution(state: &BackendState, headers: &HeaderMap, marker: &str) -> Execution {
    Execution {
        backend: state.options.id.clone(),
        attempt: header_text(headers, ATTEMPT_HEADER),
        run: header_text(headers, RUN_HEADER),
        marker: marker.to_owned(),
        model: LOOKUP_MODEL.to_owned(),
        resume_from: 0,
        started_micros: machine_micros(),
        ended_micros: None,
        end: None,
        saw_credential: headers.contains_key(header::AUTHORIZATION),
    }
}
