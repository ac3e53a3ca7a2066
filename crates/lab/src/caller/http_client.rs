//! HTTP client that opens a new connection for each request.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpStream;

/// Reason why no complete response was received.
#[derive(Debug, Error)]
pub enum HttpFailure {
    /// The connection could not be opened; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The connection failed after it had been opened.
    #[error("connection lost: {0}")]
    Connection(#[from] hyper::Error),
    /// The request could not be built, for instance because of an invalid path.
    #[error("cannot build the request: {0}")]
    Request(#[from] http::Error),
}

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

/// Sends a request on a new connection and returns the response once its head has arrived.
///
/// # Errors
/// [`HttpFailure`] when the connection cannot be opened or fails before the response head.
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
