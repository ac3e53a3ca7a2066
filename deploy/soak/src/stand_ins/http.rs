//! HTTP/1.1 connections of the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Body of an answer of a stand-in.
pub type AnswerBody = BoxBody<Bytes, Infallible>;

/// Accepts connections until the task is aborted, and serves each request with `answer`. Connections end with the
/// task.
pub async fn serve<F, A>(listener: TcpListener, answer: A)
where
    A: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let response = answer(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        connections.spawn(connection);
    }
}

/// Opens a connection for requests, one after the other.
///
/// # Errors
/// The connection cannot be opened.
pub async fn connect(address: SocketAddr) -> std::io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}
