//! Client of the control nodes' operator API.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use millford_api::config::Document;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;

use crate::error::{OrderError, ScaleError};
use crate::rig::control_cluster::OPERATOR_KEY;

/// Timeout of one HTTP exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before an order is retried on all nodes.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Serialize)]
#[expect(
    clippy::struct_field_names,
    reason = "the fields are keys of the operators' API"
)]
struct Order<'order> {
    base_revision: u64,
    order_id: &'order str,
    document: &'order Document,
}

#[derive(Deserialize)]
struct Accepted {
    revision: u64,
}

/// Sends configuration orders to the control nodes, trying each in turn.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
}

impl OperatorClient {
    /// Creates a client for the control nodes with these operator addresses.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        Self {
            addresses: addresses.to_vec(),
        }
    }

    /// Replaces the configuration at `base_revision` and returns the new revision. Retries until a node accepts
    /// the order or `timeout` has passed.
    ///
    /// # Errors
    /// Fails when the order cannot be encoded or no node accepts it before the timeout.
    pub async fn put(
        &self,
        base_revision: u64,
        order_id: &str,
        document: &Document,
        timeout: Duration,
    ) -> Result<u64, ScaleError> {
        let order = Order {
            base_revision,
            order_id,
            document,
        };
        let body = serde_json::to_vec(&order).map_err(|error| ScaleError::Operator {
            source: error.into(),
        })?;
        let body = Bytes::from(body);
        let end = Instant::now() + timeout;
        let mut last = OrderError::NotTried;
        while Instant::now() < end {
            for address in &self.addresses {
                match put_once(*address, body.clone()).await {
                    Ok(revision) => return Ok(revision),
                    Err(error) => last = error,
                }
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(ScaleError::Operator { source: last })
    }
}

async fn put_once(address: SocketAddr, body: Bytes) -> Result<u64, OrderError> {
    let exchange = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange(address, body));
    let (status, text) = exchange.await.map_err(|_| OrderError::TimedOut)??;
    if !status.is_success() {
        return Err(OrderError::Refused {
            status,
            body: String::from_utf8_lossy(&text).into_owned(),
        });
    }
    let accepted: Accepted = serde_json::from_slice(&text)?;
    Ok(accepted.revision)
}

async fn exchange(
    address: SocketAddr,
    body: Bytes,
) -> Result<(hyper::StatusCode, Bytes), OrderError> {
    let stream = TcpStream::connect(address).await?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await?;
    let connection = tokio::spawn(connection);
    let request = hyper::Request::put("/v1/config")
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(body))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?;
    connection.abort();
    Ok((status, body.to_bytes()))
}
