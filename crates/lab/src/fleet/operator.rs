//! Operator client of a fleet: runs `millfordctl` and calls the operator interface.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Full};
use millford_api::config::Document;
use serde_json::{Value, json};
use tokio::process::Command;
use tokio::time::timeout;

use super::error::FleetError;
use crate::caller::http_client::{FullResponse, get, send};

/// File name of the operator's command-line tool.
pub const CTL_PROGRAM: &str = "millfordctl";
/// Longest wait for the tool, which itself retries for thirty seconds.
const TOOL_TIMEOUT: Duration = Duration::from_secs(35);
/// Longest wait for one response of the operator interface.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Operator client of one fleet.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Operator key, sent as the bearer credential.
    pub key: String,
    /// Path of `millfordctl`.
    pub ctl: PathBuf,
}

/// Outcome of one send of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order was accepted.
    Accepted {
        /// Revision that the order created.
        revision: u64,
        /// Whether an earlier send of the same order had created the revision.
        repeated: bool,
    },
    /// The order was refused.
    Refused {
        /// Number of the result code.
        code: u32,
        /// Revision in force, if the response includes it, as on a revision conflict.
        revision: Option<u64>,
    },
    /// No usable response arrived in time; the order may or may not have been accepted.
    Unknown,
}

/// A request to replace the configuration.
#[derive(Clone, Debug)]
pub struct Order {
    /// Revision that the document is based on; the order is refused if another is in force.
    pub base_revision: u64,
    /// Id that makes repeated sends of the order idempotent.
    pub order_id: String,
    /// The complete new configuration.
    pub document: Document,
}

impl Operator {
    /// Applies a configuration document with `millfordctl` and returns the tool's output.
    ///
    /// # Errors
    /// [`FleetError::Operator`] when the tool fails, [`FleetError::Io`] when it cannot be started,
    /// [`FleetError::Timeout`] when it does not end in time.
    pub async fn apply_by_tool(
        &self,
        servers: &[SocketAddr],
        document: &std::path::Path,
    ) -> Result<String, FleetError> {
        let mut command = Command::new(&self.ctl);
        for server in servers {
            command.arg("--control").arg(server.to_string());
        }
        command
            .arg("apply")
            .arg(document)
            .env("MILLFORD_OPERATOR_KEY", &self.key)
            .kill_on_drop(true);
        let output = timeout(TOOL_TIMEOUT, command.output())
            .await
            .map_err(|_| FleetError::Timeout {
                what: "millfordctl apply".to_owned(),
                limit: TOOL_TIMEOUT,
            })?
            .map_err(FleetError::io("running millfordctl"))?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if output.status.success() {
            return Ok(text);
        }
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(FleetError::Operator(format!(
            "{} {text}{errors}",
            output.status
        )))
    }

    /// Sends an order once, to one control node.
    pub async fn put_config(&self, server: SocketAddr, order: &Order) -> OrderResponse {
        let body = json!({
            "base_revision": order.base_revision,
            "order_id": order.order_id,
            "document": order.document,
        });
        match timeout(
            RESPONSE_TIMEOUT,
            self.send(server, "PUT", "/v1/config", &body),
        )
        .await
        {
            Ok(Some(response)) => parse_order_response(&response),
            _ => OrderResponse::Unknown,
        }
    }

    /// Makes a confirmed read of the configuration and returns its revision and document. `None` without a
    /// valid response in time.
    pub async fn get_config(&self, server: SocketAddr) -> Option<(u64, Document)> {
        let value = self.get_json(server, "/v1/config").await?;
        let document = serde_json::from_value(value["document"].clone()).ok()?;
        Some((value["revision"].as_u64()?, document))
    }

    /// Reads the cluster status from one control node. `None` without a valid response in time.
    pub async fn status(&self, server: SocketAddr) -> Option<Value> {
        self.get_json(server, "/v1/status").await
    }

    /// Drains a backend of a pool, or readmits it if `drain` is false. Returns whether the request succeeded.
    pub async fn drain(&self, server: SocketAddr, pool: &str, id: &str, drain: bool) -> bool {
        let path = format!("/v1/services/{pool}/backends/{id}/drain");
        let body = json!({"drain": drain});
        let response = timeout(RESPONSE_TIMEOUT, self.send(server, "POST", &path, &body)).await;
        matches!(response, Ok(Some(response)) if response.status.is_success())
    }

    async fn get_json(&self, server: SocketAddr, path: &str) -> Option<Value> {
        let response = timeout(RESPONSE_TIMEOUT, get(server, path, Some(&self.key))).await;
        let response = response.ok()?.ok()?;
        if !response.status.is_success() {
            return None;
        }
        serde_json::from_slice(&response.body).ok()
    }

    async fn send(
        &self,
        server: SocketAddr,
        method: &str,
        path: &str,
        body: &Value,
    ) -> Option<FullResponse> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, "millford")
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::new(Bytes::from(body.to_string())))
            .ok()?;
        let response = send(server, request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(FullResponse { status, body })
    }
}

fn parse_order_response(response: &FullResponse) -> OrderResponse {
    let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    if response.status.is_success()
        && let Some(revision) = value["revision"].as_u64()
    {
        let repeated = value["repeated"].as_bool().unwrap_or(false);
        return OrderResponse::Accepted { revision, repeated };
    }
    let Some(code) = value["error"]["code"].as_u64() else {
        return OrderResponse::Unknown;
    };
    let revision = value["revision"]
        .as_u64()
        .or(value["error"]["revision"].as_u64());
    OrderResponse::Refused {
        code: u32::try_from(code).unwrap_or(0),
        revision,
    }
}

/// Returns the node id of the configuration shard's leader from a cluster status. `None` without a leader.
#[must_use]
pub fn configuration_leader(status: &Value) -> Option<String> {
    let shards = status["shards"].as_array()?;
    let shard = shards
        .iter()
        .find(|shard| shard["shard"].as_u64() == Some(0))?;
    let leader = shard["leader"].as_str()?;
    (!leader.is_empty()).then(|| leader.to_owned())
}
