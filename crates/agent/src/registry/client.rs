//! Reads the registry's list over HTTP.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::registry::view::RegistryView;

/// Longest time for the whole exchange.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// Largest list taken, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Why the registry's list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// No connection.
    #[error("the registry cannot be reached: {0}")]
    Connect(#[from] std::io::Error),
    /// The exchange broke.
    #[error("the registry's answer broke off: {0}")]
    Exchange(#[from] hyper::Error),
    /// The request cannot be built from the registry's address.
    #[error("the registry's address is not usable: {0}")]
    Address(#[from] hyper::http::Error),
    /// An answer other than 200.
    #[error("the registry answered {0}")]
    Status(hyper::StatusCode),
    /// The body is too large or was cut.
    #[error("the registry's list cannot be read: {0}")]
    Body(String),
    /// The body is not a list.
    #[error("the registry's list cannot be understood: {0}")]
    List(#[from] serde_json::Error),
    /// No answer in time.
    #[error("the registry did not answer in time")]
    Timeout,
}

/// Reads the list once.
///
/// # Errors
/// Fails when the registry cannot be reached, is slow, or sends something else.
pub async fn read(address: &str) -> Result<RegistryView, RegistryError> {
    let reading = tokio::time::timeout(READ_TIMEOUT, exchange(address));
    reading.await.map_err(|_| RegistryError::Timeout)?
}

async fn exchange(address: &str) -> Result<RegistryView, RegistryError> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let request = hyper::Request::get("/v1/backends")
        .header(hyper::header::HOST, address)
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    if response.status() != hyper::StatusCode::OK {
        return Err(RegistryError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES);
    let collected = body.collect().await;
    let bytes = collected.map_err(|error| RegistryError::Body(error.to_string()))?;
    connection.abort();
    Ok(RegistryView::from_json(&bytes.to_bytes())?)
}
