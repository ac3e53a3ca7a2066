//! Parsing of requests by simulated backends.

use millford_proxy::request::message::BackendRequest;

use crate::history::ContentNumber;
use crate::world::backend::backend_process::BackendKind;
use crate::world::client_request::KEY_PREFIX;

/// Returns the number of the content that the body, or else the path, of a request contains.
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

/// Returns the kind of backend that a request is for: only lookups have no body.
#[must_use]
pub fn kind_of(request: &BackendRequest) -> BackendKind {
    if request.body.is_empty() {
        BackendKind::Lookup
    } else {
        BackendKind::Model
    }
}

/// Returns whether a request body asks for a stream.
#[must_use]
pub fn is_stream(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("\"stream\":true")
}

/// Returns whether any text of a request contains a tenant key.
#[must_use]
pub fn contains_key(request: &BackendRequest) -> bool {
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
