//! Reads the service registry over HTTP.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::view::RegistryView;

/// Largest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Longest time for one reading.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a reading gave nothing. None of this is a reason to stop using backends.
#[derive(Debug, thiserror::Error)]
pub enum RegistryError {
    /// No answer, or a broken one.
    #[error("the registry does not answer: {0}")]
    Unreachable(String),
    /// An answer that is no list.
    #[error("the registry answered with status {0}")]
    Status(StatusCode),
    /// A list that cannot be read.
    #[error("the registry's list cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
    /// The list names no backend.
    #[error("the registry lists nothing")]
    Empty,
    /// No answer in time.
    #[error("the registry did not answer in time")]
    Late,
}

/// Client of one registry.
pub struct RegistryClient {
    address: String,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl RegistryClient {
    /// A client of the registry at this address, IP and port.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            address: address.to_owned(),
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// See [`RegistryError`].
    pub async fn read(&self) -> Result<RegistryView, RegistryError> {
        let reading = tokio::time::timeout(READ_TIMEOUT, self.read_unbounded());
        let view = reading.await.map_err(|_| RegistryError::Late)??;
        if view.backends.is_empty() {
            return Err(RegistryError::Empty);
        }
        Ok(view)
    }

    async fn read_unbounded(&self) -> Result<RegistryView, RegistryError> {
        let request = Request::get(format!("http://{}/v1/backends", self.address))
            .body(Empty::new())
            .map_err(|error| RegistryError::Unreachable(error.to_string()))?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| RegistryError::Unreachable(error.to_string()))?;
        if response.status() != StatusCode::OK {
            return Err(RegistryError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect();
        let body = body.await;
        let body = body.map_err(|error| RegistryError::Unreachable(error.to_string()))?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }
}
