//! A backend on loopback that answers with given bytes, and a caller that sends given bytes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Returns the bytes to answer a request with; empty if the request is never answered.
pub(crate) type Answer = Arc<dyn Fn(&RawRequest) -> Vec<u8> + Send + Sync>;

/// A request as the backend received it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RawRequest {
    pub(crate) head: String,
    pub(crate) body: String,
}

impl RawRequest {
    /// Returns the value of a header; empty if the request has none.
    pub(crate) fn header(&self, name: &str) -> String {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found
            .next()
            .map_or_else(String::new, |(_, value)| value.trim().to_owned())
    }
}

/// Requests that the backend received.
pub(crate) type Requests = Arc<Mutex<Vec<RawRequest>>>;

/// Starts a backend, which runs until the runtime ends.
pub(crate) async fn start(answer: Answer) -> (SocketAddr, Requests) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let requests = Requests::default();
    let shared = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&answer), Arc::clone(&shared)));
        }
    });
    (address, requests)
}

async fn serve(mut stream: TcpStream, answer: Answer, requests: Requests) {
    let Some(request) = read_request(&mut stream).await else {
        return;
    };
    requests.lock().expect("requests").push(request.clone());
    let bytes = answer(&request);
    let _ = stream.write_all(&bytes).await;
    if bytes.is_empty() {
        // Sends no answer and waits until the proxy closes the connection.
        let _ = stream.read(&mut [0; 1]).await;
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<RawRequest> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let request = RawRequest {
                head: head.to_owned(),
                body: body.to_owned(),
            };
            let length: usize = request.header("content-length").parse().unwrap_or(0);
            if body.len() >= length {
                return Some(request);
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part).await {
            Ok(read) if read > 0 => bytes.extend_from_slice(&part[..read]),
            _ => return None,
        }
    }
}

/// Sends raw bytes and reads until the server closes the connection.
pub(crate) async fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    // The server may answer and close before it has read everything.
    let _ = stream.write_all(request).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Builds a completion request with this body and `connection: close`.
pub(crate) fn post(headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n";
    format!("{head}{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Builds a GET request with `connection: close`.
pub(crate) fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\r\n").into_bytes()
}
