//! A stub backend that responds with scripted bytes and records the requests that it receives.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::head::header_of;

/// One received request.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    /// Request line and headers.
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl Received {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        header_of(&self.head, name)
    }
}

/// The backend's reaction to one request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Sends these bytes, with `REQUEST-ID` replaced by the request's id, and keeps the connection open.
    Respond(String),
    /// Sends these bytes as [`Step::Respond`] does, and resets the connection.
    RespondThenReset(String),
    /// Closes the connection without a response.
    Close,
    /// Never responds.
    Hang,
}

/// A running backend.
#[derive(Clone)]
pub(crate) struct StubBackend {
    pub(crate) address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    steps: Arc<Mutex<Vec<Step>>>,
    connections: Arc<Mutex<u32>>,
}

impl StubBackend {
    /// Starts a backend that performs one of these steps for each request, in order, and repeats the last one.
    pub(crate) async fn start(steps: Vec<Step>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let backend = Self {
            address: listener.local_addr().expect("the socket has an address"),
            received: Arc::default(),
            steps: Arc::new(Mutex::new(steps)),
            connections: Arc::default(),
        };
        let serving = backend.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                *serving.connections.lock().unwrap() += 1;
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        backend
    }

    /// Returns all requests received so far.
    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    /// Returns the number of connections accepted so far.
    pub(crate) fn connections(&self) -> u32 {
        *self.connections.lock().unwrap()
    }

    fn next_step(&self) -> Step {
        let mut steps = self.steps.lock().unwrap();
        if steps.len() > 1 {
            steps.remove(0)
        } else {
            steps[0].clone()
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(received) = read_request(&mut stream).await {
            let id = received.header("x-millford-request-id").unwrap_or_default();
            self.received.lock().unwrap().push(received);
            match self.next_step() {
                Step::Respond(text) => {
                    let text = text.replace("REQUEST-ID", &id);
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
                Step::RespondThenReset(text) => {
                    let text = text.replace("REQUEST-ID", &id);
                    let _ = stream.write_all(text.as_bytes()).await;
                    let _ = stream.set_zero_linger();
                    return;
                }
                Step::Close => return,
                Step::Hang => std::future::pending::<()>().await,
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<Received> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let end = loop {
        if let Some(at) = find(&bytes, b"\r\n\r\n") {
            break at + 4;
        }
        let length = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|length| *length > 0)?;
        bytes.extend_from_slice(&buffer[..length]);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut body = bytes.split_off(end);
    let received = Received {
        head,
        body: Vec::new(),
    };
    let length = received
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    while body.len() < length {
        let read = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        body.extend_from_slice(&buffer[..read]);
    }
    Some(Received { body, ..received })
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Builds a complete signed response.
pub(crate) fn signed(body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nx-millford-request-id: REQUEST-ID\r\nx-millford-signature: s\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

/// Builds a refusal which declares that the request did not run.
pub(crate) fn not_run(status: u16) -> String {
    format!(
        "HTTP/1.1 {status} Refused\r\nx-millford-run-state: not_run\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Builds the head of a signed event stream, followed by the events with these ids.
pub(crate) fn stream_start(ids: std::ops::Range<u64>) -> String {
    let head = "HTTP/1.1 200 OK\r\nx-millford-request-id: REQUEST-ID\r\nx-millford-signature: s\r\n\
                content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let events: String = ids.map(|id| chunk(&event(id))).collect();
    format!("{head}{events}")
}

/// Builds one event.
pub(crate) fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Encodes a text as one chunk of a chunked body.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// The chunk that ends a chunked body.
pub(crate) const LAST_CHUNK: &str = "0\r\n\r\n";
