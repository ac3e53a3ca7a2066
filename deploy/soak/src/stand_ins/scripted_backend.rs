//! Backends whose answers are written byte by byte: lawful ones of unusual size, and faulty ones without an end.

use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::configuration::{FAULTY_PATH, FAULTY_STREAM_PATH};

/// Size of the blocks in which endless answers are written, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;
/// Largest request head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// What a scripted backend sends to each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ScriptedAnswer {
    /// A complete plain answer with a body of this many bytes.
    Body(usize),
    /// A complete stream with one event of about this many bytes.
    Event(usize),
    /// A header line without an end.
    EndlessHead,
    /// `100 Continue` again and again.
    EndlessInterim,
    /// A stream whose first event has no end.
    EndlessEvent,
    /// A chunked body without an end that has no events.
    EndlessBody,
    /// Trailers without an end, behind a body.
    EndlessTrailers,
    /// A complete answer, then bytes that belong to no answer.
    EndlessSurplus,
}

impl ScriptedAnswer {
    /// All answers without an end.
    pub const ENDLESS: [Self; 6] = [
        Self::EndlessHead,
        Self::EndlessInterim,
        Self::EndlessEvent,
        Self::EndlessBody,
        Self::EndlessTrailers,
        Self::EndlessSurplus,
    ];

    /// Path of the route on which clients ask for this answer.
    #[must_use]
    pub fn path(self) -> &'static str {
        match self {
            Self::EndlessEvent => FAULTY_STREAM_PATH,
            _ => FAULTY_PATH,
        }
    }
}

/// A running backend. Dropping it breaks its connections.
#[derive(Debug)]
pub struct ScriptedBackend {
    /// Identifier in the backend list.
    pub id: String,
    /// Address at which it serves.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl ScriptedBackend {
    /// Starts a backend on a free port of this host.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(id: String, host: IpAddr, answer: ScriptedAnswer) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::new(host, 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, answer));
        Ok(Self { id, address, task })
    }
}

impl Drop for ScriptedBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, answer: ScriptedAnswer) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        // An error means that the caller closed the connection.
        connections.spawn(async move { serve(stream, answer).await.unwrap_or_default() });
    }
}

async fn serve(mut stream: TcpStream, answer: ScriptedAnswer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(request_id) = read_request(&mut stream).await? {
        send(&mut stream, &request_id, answer).await?;
    }
    Ok(())
}

/// Reads a whole request. Returns its id, or `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if head.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut byte = [0];
        if stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let field = |name: &str| {
        let mut lines = head.lines();
        let value = lines.find_map(|line| line.strip_prefix(name));
        value.map(|value| value.trim().to_owned())
    };
    let length = field("content-length:").and_then(|text| text.parse().ok());
    let mut body = stream.take(length.unwrap_or(0));
    tokio::io::copy(&mut body, &mut tokio::io::sink()).await?;
    Ok(Some(field("request-id:").unwrap_or_default()))
}

async fn send(stream: &mut TcpStream, id: &str, answer: ScriptedAnswer) -> io::Result<()> {
    let start = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: scripted.{id}\r\n");
    let stream_start = format!("{start}content-type: text/event-stream\r\n");
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    match answer {
        ScriptedAnswer::Body(length) => {
            let head = format!("{start}content-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b'x'; length]).await
        }
        ScriptedAnswer::Event(length) => {
            let data = "x".repeat(length);
            let event = format!("id: 0\ndata: {data}\n\n");
            let length = event.len();
            let head = format!("{stream_start}content-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(event.as_bytes()).await
        }
        ScriptedAnswer::EndlessHead => {
            let head = format!("{start}x-endless: ");
            repeat(stream, &head, "x").await
        }
        ScriptedAnswer::EndlessInterim => repeat(stream, "", "HTTP/1.1 100 Continue\r\n\r\n").await,
        ScriptedAnswer::EndlessEvent => {
            let head = format!("{stream_start}{chunked}7\r\ndata: x\r\n");
            repeat(stream, &head, &endless_chunk()).await
        }
        ScriptedAnswer::EndlessBody => {
            let head = format!("{start}{chunked}");
            repeat(stream, &head, &endless_chunk()).await
        }
        ScriptedAnswer::EndlessTrailers => {
            let head = format!("{start}trailer: x-more\r\n{chunked}1\r\nx\r\n0\r\n");
            repeat(stream, &head, "x-more: 1\r\n").await
        }
        ScriptedAnswer::EndlessSurplus => {
            let head = format!("{start}content-length: 1\r\n\r\nx");
            repeat(stream, &head, "surplus").await
        }
    }
}

/// One chunk of a chunked body, which contains no end of an event.
fn endless_chunk() -> String {
    format!("{BLOCK_BYTES:x}\r\n{}\r\n", "x".repeat(BLOCK_BYTES))
}

/// Writes `first`, and then `unit` until the caller closes the connection.
async fn repeat(stream: &mut TcpStream, first: &str, unit: &str) -> io::Result<()> {
    stream.write_all(first.as_bytes()).await?;
    let block = unit.repeat((BLOCK_BYTES / unit.len()).max(1));
    loop {
        stream.write_all(block.as_bytes()).await?;
    }
}
