//! A stub agent on loopback that sends one configuration and grants all quota and claims.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use futures::{SinkExt, StreamExt};
use millford_api::command::ClaimResult;
use millford_api::internal::StateSnapshot;
use millford_api::local::{
    AgentStatus, LocalClaimReply, LocalFrame, LocalQuotaReply, LocalResolveClaimReply,
    ProxyApplied, local_frame,
};
use millford_api::state::StateItem;
use millford_transport::{FrameLimits, accept};
use tokio::net::{TcpListener, TcpStream};

/// Frames that the stub received from the proxy.
pub(crate) type Received = Arc<Mutex<Vec<local_frame::Body>>>;

/// Starts the stub, which runs until the runtime ends.
pub(crate) async fn start(items: Vec<StateItem>) -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let received = Received::default();
    let shared = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, items.clone(), Arc::clone(&shared)));
        }
    });
    (address, received)
}

/// Returns a frame on which the stub closes the connection, as if the agent had crashed.
pub(crate) fn disconnect_frame() -> local_frame::Body {
    local_frame::Body::Applied(ProxyApplied { revision: u64::MAX })
}

async fn serve(stream: TcpStream, items: Vec<StateItem>, received: Received) {
    let (mut reader, mut writer) =
        accept::<LocalFrame>(stream, &FrameLimits::default()).expect("socket");
    while let Some(Ok(frame)) = reader.next().await {
        let body = frame.body.expect("body");
        if body == disconnect_frame() {
            return;
        }
        received.lock().expect("received").push(body.clone());
        for answer in answers(body, &items) {
            let frame = LocalFrame { body: Some(answer) };
            if writer.send(frame).await.is_err() {
                return;
            }
        }
    }
}

fn answers(body: local_frame::Body, items: &[StateItem]) -> Vec<local_frame::Body> {
    match body {
        local_frame::Body::ProxyHello(_) => vec![
            local_frame::Body::Snapshot(StateSnapshot {
                shard: 0,
                term: 1,
                offset: 5,
                items: items.to_vec(),
                ..Default::default()
            }),
            local_frame::Body::Status(AgentStatus {
                connected: true,
                session_epoch: 1,
                data_shards: 1,
                complete: true,
            }),
        ],
        local_frame::Body::QuotaRequest(request) => {
            vec![local_frame::Body::QuotaReply(LocalQuotaReply {
                request_id: request.request_id,
                granted: true,
                ..LocalQuotaReply::default()
            })]
        }
        local_frame::Body::Claim(claim) => vec![local_frame::Body::ClaimReply(LocalClaimReply {
            request_id: claim.request_id,
            code: 0,
            result: Some(ClaimResult {
                granted: true,
                ..ClaimResult::default()
            }),
        })],
        local_frame::Body::ResolveClaim(resolution) => {
            vec![local_frame::Body::ResolveClaimReply(
                LocalResolveClaimReply {
                    request_id: resolution.request_id,
                    code: 0,
                },
            )]
        }
        _ => Vec::new(),
    }
}
