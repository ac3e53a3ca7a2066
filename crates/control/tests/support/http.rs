//! A client of the operator interface that uses one connection per request.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A response as received.
pub(crate) struct Answer {
    /// HTTP status; 0 if the response is not HTTP.
    pub(crate) status: u16,
    /// Status line and headers, in lower case.
    pub(crate) head: String,
    /// Body as text.
    pub(crate) body: String,
}

impl Answer {
    /// The body as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("not JSON: {}", self.body))
    }

    /// Number of the result code; 0 for success.
    pub(crate) fn code(&self) -> u64 {
        self.json()["error"]["code"].as_u64().unwrap_or(0)
    }
}

/// Sends these bytes as a request and reads the response to its end.
pub(crate) fn raw(address: &str, request: &[u8]) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    stream.write_all(request)?;
    let mut bytes = Vec::new();
    // A server that answers before it has read the whole request may reset the connection.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok(Answer {
        status: status.unwrap_or(0),
        head: head.to_ascii_lowercase(),
        body: body.to_owned(),
    })
}

/// Sends a request with these header lines and this body.
pub(crate) fn request(
    address: &str,
    method: &str,
    path: &str,
    headers: &[&str],
    body: &str,
) -> Answer {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n");
    for header in headers {
        text.push_str(header);
        text.push_str("\r\n");
    }
    if !body.is_empty() {
        let length = body.len();
        write!(text, "Content-Length: {length}\r\n").expect("writing to a string");
    }
    text.push_str("\r\n");
    text.push_str(body);
    raw(address, text.as_bytes()).expect("the server answers")
}
