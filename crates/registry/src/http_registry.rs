//! HTTP client for service registries that implement `docs/REGISTRY-PROTOCOL.md`.

use std::time::Duration;

use hyper::StatusCode;
use millford_bounded_io::BoundedHttpClient;

use crate::error::RegistryError;
use crate::registry_address::RegistryAddress;
use crate::service_registry::{ReadFuture, ServiceRegistry};
use crate::view::RegistryView;

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Largest list that is accepted, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of one registry.
pub struct HttpRegistry {
    address: RegistryAddress,
    client: BoundedHttpClient,
}

impl HttpRegistry {
    /// Creates a client of the registry at this address.
    #[must_use]
    pub fn new(address: RegistryAddress) -> Self {
        Self {
            address,
            client: BoundedHttpClient::new(MAX_HEAD_BYTES, MAX_LIST_BYTES, READ_TIMEOUT),
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
        let fetched = self.client.get(&address, "/v1/backends").await;
        let (status, body) = fetched.map_err(RegistryError::unreachable)?;
        if status != StatusCode::OK {
            return Err(RegistryError::Status(status));
        }
        Ok(serde_json::from_slice(&body)?)
    }
}

impl ServiceRegistry for HttpRegistry {
    fn read(&self) -> ReadFuture<'_> {
        Box::pin(self.read_with_timeout())
    }
}
