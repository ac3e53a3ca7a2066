//! HTTP client for service registries that implement `docs/REGISTRY-PROTOCOL.md`.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::error::RegistryError;
use crate::registry_address::RegistryAddress;
use crate::service_registry::{ReadFuture, ServiceRegistry};
use crate::view::RegistryView;

/// Largest list that is accepted, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of one registry.
pub struct HttpRegistry {
    address: RegistryAddress,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl HttpRegistry {
    /// Creates a client of the registry at this address.
    #[must_use]
    pub fn new(address: RegistryAddress) -> Self {
        Self {
            address,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    async fn read_with_timeout(&self) -> Result<RegistryView, RegistryError> {
        let list = tokio::time::timeout(READ_TIMEOUT, self.read_list());
        let mut view = list.await.map_err(|_| RegistryError::Timeout)??;
        view.requests = 1;
        if view.backends.is_empty() {
            return Err(RegistryError::Empty);
        }
        Ok(view)
    }

    async fn read_list(&self) -> Result<RegistryView, RegistryError> {
        let address = self.address.get().await;
        let request = Request::get(format!("http://{address}/v1/backends"))
            .body(Empty::new())
            .map_err(RegistryError::unreachable)?;
        let response = self.client.request(request).await;
        let response = response.map_err(RegistryError::unreachable)?;
        if response.status() != StatusCode::OK {
            return Err(RegistryError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect();
        let body = body.await;
        let body = body.map_err(RegistryError::unreachable)?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }
}

impl ServiceRegistry for HttpRegistry {
    fn read(&self) -> ReadFuture<'_> {
        Box::pin(self.read_with_timeout())
    }
}
