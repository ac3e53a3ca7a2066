//! One HTTP request on a connection of its own.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpStream;

/// Why no complete response was received.
#[derive(Debug, Error)]
pub enum HttpFailure {
    /// No connection; nothing was sent.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The connection failed after it stood.
    #[error("connection lost: {0}")]
    Connection(#[from] hyper::Error),
    /// The request could not be built.
    #[error("bad request: {0}")]
    Request(#[from] http::Error),
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Whole body.
    pub body: Bytes,
}

/// Sends a request on a new connection and returns the head of the response.
///
/// # Errors
/// [`HttpFailure`]: no connection, or one that failed before the head of the response.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, HttpFailure> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(HttpFailure::Connect)?;
    let _ = stream.set_nodelay(true);
    let io = TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    tokio::spawn(connection);
    Ok(sender.send_request(request).await?)
}

/// Sends a JSON body and reads the complete response.
///
/// # Errors
/// [`HttpFailure`]: no connection, one that failed, or a request that cannot be built.
pub async fn send_json(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> Result<FullResponse, HttpFailure> {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, HeaderValue::from_static("millford"))
        .header(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        )
        .body(Full::new(Bytes::from(bytes)))?;
    read_full(send(address, request).await?).await
}

/// Sends a `GET` with an optional bearer credential and reads the complete response.
///
/// # Errors
/// [`HttpFailure`]: no connection, one that failed, or a request that cannot be built.
pub async fn get(
    address: SocketAddr,
    path: &str,
    bearer: Option<&str>,
) -> Result<FullResponse, HttpFailure> {
    let mut builder = Request::builder()
        .uri(path)
        .header(header::HOST, "millford");
    if let Some(bearer) = bearer {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {bearer}"));
    }
    let request = builder.body(Full::default())?;
    read_full(send(address, request).await?).await
}

async fn read_full(response: Response<Incoming>) -> Result<FullResponse, HttpFailure> {
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    Ok(FullResponse { status, body })
}
