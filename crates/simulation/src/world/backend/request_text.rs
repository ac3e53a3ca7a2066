//! What a simulated backend reads in the text of a request.

use millford_proxy::request::message::BackendRequest;

use crate::history::ContentNumber;
use crate::world::backend::backend_process::BackendKind;
use crate::world::client_request::KEY_PREFIX;

/// Number of the content that a request names.
#[must_use]
pub fn content_of(request: &BackendRequest) -> Option<ContentNumber> {
    let body = String::from_utf8_lossy(&request.body);
    let text = if request.body.is_empty() {
        request.path.as_str()
    } else {
        &body
    };
    let rest = text.split_once("content-")?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok().map(ContentNumber)
}

/// What the backend of a request serves: only lookups have no body.
#[must_use]
pub fn kind_of(request: &BackendRequest) -> BackendKind {
    if request.body.is_empty() {
        BackendKind::Lookup
    } else {
        BackendKind::Model
    }
}

/// Whether a body requests a stream.
#[must_use]
pub fn is_stream(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("\"stream\":true")
}

/// Whether any part of a request holds a tenant key.
#[must_use]
pub fn holds_key(request: &BackendRequest) -> bool {
    let body = String::from_utf8_lossy(&request.body);
    let texts = [
        body.as_ref(),
        &request.path,
        &request.attempt,
        &request.run,
        &request.stage,
        &request.adapter,
    ];
    texts.iter().any(|text| text.contains(KEY_PREFIX))
}
