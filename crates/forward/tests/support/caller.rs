//! A caller that sends HTTP/1.1 over a plain socket, so that tests can check the exact bytes.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::head::header_of;
use super::node::{HOST, KEY};

/// A received response.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// Status line and headers.
    pub(crate) head: String,
    /// The body without its framing.
    pub(crate) body: String,
    /// Whether the body is complete by its framing.
    pub(crate) complete: bool,
}

impl Reply {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        header_of(&self.head, name)
    }
}

/// Builds a POST request with the tenant's key. `headers` are additional header lines, each with its CRLF.
pub(crate) fn request(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
         x-millford-request-id: id-1\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends raw bytes on a new connection and reads one response.
pub(crate) async fn call(address: SocketAddr, text: &str) -> Reply {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the node accepts the connection");
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the request is sent");
    read_reply(&mut stream).await.expect("the node responds")
}

/// Reads one response; `None` if the connection is closed before the end of the response's head.
pub(crate) async fn read_reply(stream: &mut TcpStream) -> Option<Reply> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let mut open = true;
    loop {
        if let Some(reply) = parse(&bytes, !open) {
            return Some(reply);
        }
        if !open {
            return None;
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => open = false,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
        }
    }
}

fn parse(bytes: &[u8], ended: bool) -> Option<Reply> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut reply = Reply {
        status: head.split(' ').nth(1)?.parse().ok()?,
        head: head.to_owned(),
        body: String::new(),
        complete: false,
    };
    let chunked = reply.header("transfer-encoding").is_some();
    let length = reply
        .header("content-length")
        .and_then(|text| text.parse::<usize>().ok());
    if chunked {
        let (joined, complete) = join_chunks(body);
        reply.body = joined;
        reply.complete = complete;
    } else {
        reply.complete = length.is_some_and(|length| body.len() >= length);
        body.clone_into(&mut reply.body);
    }
    (reply.complete || ended).then_some(reply)
}

fn join_chunks(mut rest: &str) -> (String, bool) {
    let mut joined = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (joined, false);
        };
        if size == 0 {
            return (joined, true);
        }
        if after.len() < size + 2 {
            joined.push_str(&after[..after.len().min(size)]);
            return (joined, false);
        }
        joined.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    (joined, false)
}
