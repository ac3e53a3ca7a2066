//! Responses without an end, which no sound HTTP server can produce.

use std::io;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::faults::EndlessPart;
use super::http::EmulatorBody;

/// Size of the blocks that are written again and again, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;
/// Start of the requests that the faults apply to.
const WORK_REQUEST: &[u8] = b"POST /v1/chat";
/// Most bytes of a request that are read before the response begins.
const REQUEST_BYTES: usize = 64 * 1024;

/// Whether the first request on a connection is of the work that the faults apply to, rather than one that reads or sets
/// the state of the emulator.
pub(super) async fn begins_with_work(stream: &TcpStream) -> bool {
    let mut start = [0; WORK_REQUEST.len()];
    let peeked = stream.peek(&mut start).await;
    peeked.is_ok_and(|length| &start[..length] == WORK_REQUEST)
}

/// Reads the start of a request and sends a head, or interim responses, until the client closes the connection.
///
/// # Errors
/// The client closed the connection.
pub(super) async fn send_endless_head(mut stream: TcpStream, part: EndlessPart) -> io::Result<()> {
    let mut request = vec![0; REQUEST_BYTES];
    if stream.read(&mut request).await? == 0 {
        return Ok(());
    }
    let (first, unit) = match part {
        EndlessPart::Interim => ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        EndlessPart::Head | EndlessPart::Body => ("HTTP/1.1 200 OK\r\nx-endless: ", "x"),
    };
    stream.write_all(first.as_bytes()).await?;
    let block = unit.repeat(BLOCK_BYTES / unit.len());
    loop {
        stream.write_all(block.as_bytes()).await?;
    }
}

/// Returns a body without an end, which contains no end of an event either.
#[must_use]
pub(super) fn endless_body() -> EmulatorBody {
    let first = Bytes::from_static(b"data: ");
    let block = Bytes::from(vec![b'x'; BLOCK_BYTES]);
    let frames = stream::once(async move { Ok(Frame::data(first)) })
        .chain(stream::repeat_with(move || Ok(Frame::data(block.clone()))));
    BodyExt::boxed_unsync(StreamBody::new(frames))
}
