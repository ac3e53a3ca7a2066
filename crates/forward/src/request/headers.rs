//! Hop-by-hop headers, and the size of headers.

use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};

/// Removes the hop-by-hop headers, including those that `Connection` lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let always = [
        CONNECTION,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in always {
        headers.remove(name);
    }
}

/// Removes `Content-Length` from the headers of a body that is forwarded with another framing.
pub fn remove_length(headers: &mut HeaderMap) {
    headers.remove(CONTENT_LENGTH);
}

/// Returns the size of the headers in their HTTP/1.1 encoding, in bytes.
#[must_use]
pub fn size_of(headers: &HeaderMap) -> usize {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + LINE_OVERHEAD);
    sizes.sum()
}

/// Bytes of the colon, the space and the CRLF of a header line.
const LINE_OVERHEAD: usize = 4;
