//! Handles `GET` lookups of the emulator.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Response, StatusCode, Uri, header};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::execution::Execution;
use super::http::{EmulatorBody, header_text, json_response, refusal, set_attempt};
use super::state::BackendState;
use crate::answer_text::AnswerText;
use crate::protocol::{ATTEMPT_HEADER, RUN_HEADER, machine_micros};

/// Query parameter with the marker of a lookup, including the equals sign.
pub const MARKER_PARAMETER: &str = "request=";
/// Model name of lookups in the execution log.
pub const LOOKUP_MODEL: &str = "lookup";
/// Duration of one lookup at normal speed.
const LOOKUP_TIME: Duration = Duration::from_millis(1);

/// Body of a lookup's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// Path of the request, without the query.
    pub path: String,
    /// Marker of the request; empty if it had none.
    pub marker: String,
    /// Text of the entry, determined by path and marker.
    pub entry: String,
}

impl LookupAnswer {
    /// Returns the response to a lookup of `path` with `marker`.
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

/// Runs one lookup and returns its response, which is a refusal if no work was done.
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
    let mut response = json_response(StatusCode::OK, &LookupAnswer::new(uri.path(), marker));
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
