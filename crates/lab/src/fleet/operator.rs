//! The operator's side: `millfordctl` and the operator interface.

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

/// Program of the operator's tool.
pub const CTL_PROGRAM: &str = "millfordctl";
/// Longest wait for the tool, which itself goes on trying for thirty seconds.
const TOOL_BOUND: Duration = Duration::from_secs(35);
/// Longest wait for one response.
const ANSWER_BOUND: Duration = Duration::from_secs(5);

/// The operator's side of one fleet.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The credential.
    pub key: String,
    /// The tool.
    pub ctl: PathBuf,
}

/// Response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Accepted under this number.
    Accepted {
        /// Number of the new revision.
        revision: u64,
        /// Whether the order had been accepted before.
        repeated: bool,
    },
    /// Refused with this code.
    Refused {
        /// Numbered result code.
        code: u32,
        /// Present revision, on a conflict.
        revision: Option<u64>,
    },
    /// No response: the order's fate is unknown.
    Unknown,
}

/// One order.
#[derive(Clone, Debug)]
pub struct Order {
    /// Revision that it builds on.
    pub base_revision: u64,
    /// Its id.
    pub order_id: String,
    /// The whole configuration.
    pub document: Document,
}

impl Operator {
    /// Applies a document by the operator's tool. Returns the output of the tool.
    ///
    /// # Errors
    /// [`FleetError::Operator`] when the tool rejects the document, [`FleetError::Io`] when it cannot run.
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
        let output = timeout(TOOL_BOUND, command.output())
            .await
            .map_err(|_| FleetError::Timeout {
                what: "millfordctl apply".to_owned(),
                bound: TOOL_BOUND,
            })?
            .map_err(FleetError::io("millfordctl"))?;
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

    /// Sends an order to one node.
    pub async fn put_config(&self, server: SocketAddr, order: &Order) -> OrderAnswer {
        let body = json!({
            "base_revision": order.base_revision,
            "order_id": order.order_id,
            "document": order.document,
        });
        match timeout(ANSWER_BOUND, self.send(server, "PUT", "/v1/config", &body)).await {
            Ok(Some(answer)) => read_order_answer(&answer),
            _ => OrderAnswer::Unknown,
        }
    }

    /// Confirmed read of the configuration: its number and document.
    pub async fn get_config(&self, server: SocketAddr) -> Option<(u64, Document)> {
        let value = self.get_json(server, "/v1/config").await?;
        let document = serde_json::from_value(value["document"].clone()).ok()?;
        Some((value["revision"].as_u64()?, document))
    }

    /// Status of the cluster.
    pub async fn status(&self, server: SocketAddr) -> Option<Value> {
        self.get_json(server, "/v1/status").await
    }

    /// Drains or readmits a backend. True when the order was accepted.
    pub async fn drain(&self, server: SocketAddr, pool: &str, id: &str, drain: bool) -> bool {
        let path = format!("/v1/services/{pool}/backends/{id}/drain");
        let body = json!({"drain": drain});
        let answer = timeout(ANSWER_BOUND, self.send(server, "POST", &path, &body)).await;
        matches!(answer, Ok(Some(answer)) if answer.status.is_success())
    }

    async fn get_json(&self, server: SocketAddr, path: &str) -> Option<Value> {
        let answer = timeout(ANSWER_BOUND, get(server, path, Some(&self.key))).await;
        let answer = answer.ok()?.ok()?;
        if !answer.status.is_success() {
            return None;
        }
        serde_json::from_slice(&answer.body).ok()
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

fn read_order_answer(answer: &FullResponse) -> OrderAnswer {
    let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    if answer.status.is_success()
        && let Some(revision) = value["revision"].as_u64()
    {
        let repeated = value["repeated"].as_bool().unwrap_or(false);
        return OrderAnswer::Accepted { revision, repeated };
    }
    let Some(code) = value["error"]["code"].as_u64() else {
        return OrderAnswer::Unknown;
    };
    let revision = value["revision"]
        .as_u64()
        .or(value["error"]["revision"].as_u64());
    OrderAnswer::Refused {
        code: u32::try_from(code).unwrap_or(0),
        revision,
    }
}

/// The control node that leads the configuration shard, as a status says: its id in the status.
#[must_use]
pub fn configuration_leader(status: &Value) -> Option<String> {
    let shards = status["shards"].as_array()?;
    let shard = shards
        .iter()
        .find(|shard| shard["shard"].as_u64() == Some(0))?;
    let leader = shard["leader"].as_str()?;
    (!leader.is_empty()).then(|| leader.to_owned())
}
