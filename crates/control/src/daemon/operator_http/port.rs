//! Connects the HTTP server to the gateway's thread.

use std::sync::Arc;
use std::time::Duration;

use millford_bounded_io::MemoryBudget;
use millford_core::ResultCode;
use tokio::sync::oneshot;

use super::credential::OperatorCredential;
use crate::daemon::event::{GatewayEvent, GatewayQueue};
use crate::daemon::shared::NodeShared;
use crate::operator::{OperatorFailure, OperatorReply, OperatorRequest};
use crate::timing::OPERATOR_REQUEST_TIMEOUT;

/// Time after the gateway's own timeout before the HTTP server answers without a reply.
const GATEWAY_REPLY_MARGIN: Duration = Duration::from_secs(2);

/// Largest body, in bytes. A configuration document with all lists at their limits fits.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Passes operators' requests to the gateway's thread.
#[derive(Clone)]
pub struct OperatorPort {
    queue: GatewayQueue,
    shared: Arc<NodeShared>,
    credential: OperatorCredential,
    memory: Arc<MemoryBudget>,
    max_body_bytes: usize,
}

impl OperatorPort {
    /// Creates a port to the gateway behind this queue. Bodies of requests count in `memory` and have at most
    /// `max_body_bytes`.
    #[must_use]
    pub fn new(
        queue: GatewayQueue,
        shared: Arc<NodeShared>,
        key_hash: &str,
        memory: Arc<MemoryBudget>,
        max_body_bytes: usize,
    ) -> Self {
        Self {
            queue,
            shared,
            credential: OperatorCredential::new(key_hash),
            memory,
            max_body_bytes: max_body_bytes.min(MAX_BODY_BYTES),
        }
    }

    /// The credential that requests to this node must carry.
    #[must_use]
    pub fn credential(&self) -> &OperatorCredential {
        &self.credential
    }

    /// Counts the bodies of operators' requests.
    #[must_use]
    pub fn memory(&self) -> &Arc<MemoryBudget> {
        &self.memory
    }

    /// Largest body of an operator's request, in bytes.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        self.max_body_bytes
    }

    /// The node's state as last published by the gateway's thread.
    #[must_use]
    pub fn shared(&self) -> &NodeShared {
        &self.shared
    }

    /// Sends a request and waits for the reply. A change whose reply does not come in time is
    /// answered as uncertain.
    pub async fn request(&self, body: OperatorRequest) -> OperatorReply {
        let changes = matches!(
            body,
            OperatorRequest::PutConfig(_) | OperatorRequest::Drain { .. }
        );
        let (answer, reply) = oneshot::channel();
        let sent = self.queue.send(GatewayEvent::Operator { body, answer });
        if sent.is_err() {
            return OperatorReply::Failed(OperatorFailure::new(ResultCode::NoLeader));
        }
        let limit = OPERATOR_REQUEST_TIMEOUT + GATEWAY_REPLY_MARGIN;
        match tokio::time::timeout(limit, reply).await {
            Ok(Ok(reply)) => reply,
            _ => OperatorReply::Failed(OperatorFailure::new(if changes {
                ResultCode::OrderUncertain
            } else {
                ResultCode::ControlTimeout
            })),
        }
    }
}
