//! The owner's side of token quotas: decides on the admission requests of other nodes.

use std::net::SocketAddr;

use millford_api::exchange::{AdmissionReply, AdmissionRequest, PeerMessage};
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_routing::RoutingTable;

use super::grant::Grant;
use super::tenant_quotas::TenantQuotas;
use crate::owners::PeerLink;

/// Replies to a peer's admission request. Returns `false` if the datagram contains none.
pub fn receive(
    link: &PeerLink,
    table: &RoutingTable,
    quotas: &TenantQuotas,
    from: SocketAddr,
    datagram: &PeerMessage,
) -> bool {
    let Some(request) = &datagram.admission_request else {
        return false;
    };
    let mut reply = link.datagram();
    reply.admission_reply = Some(reply_to(monotonic_now(), table, quotas, request));
    link.send(from, &reply);
    true
}

fn reply_to(
    now: MonotonicTime,
    table: &RoutingTable,
    quotas: &TenantQuotas,
    request: &AdmissionRequest,
) -> AdmissionReply {
    let tenant = table.tenant_named(&request.tenant);
    let grant = tenant
        .and_then(|tenant| quotas.grant(now, tenant, request.tokens, request.uncharged_tokens));
    let Some(grant) = grant else {
        return AdmissionReply {
            id: request.id,
            unlimited: true,
            ..AdmissionReply::default()
        };
    };
    let wait = grant.decision.err().unwrap_or_default();
    AdmissionReply {
        id: request.id,
        unlimited: false,
        admitted: grant.decision.is_ok(),
        retry_after_us: u64::try_from(wait.as_micros()).unwrap_or(u64::MAX),
        level_tokens: grant.level_tokens,
        admitted_tokens_per_second: grant.admitted_per_second,
    }
}

/// Converts an owner's reply to a grant; `None` if the owner has no quota for the tenant.
pub(super) fn grant_of(reply: &AdmissionReply) -> Option<Grant> {
    let wait = Duration::from_micros(reply.retry_after_us);
    (!reply.unlimited).then_some(Grant {
        decision: if reply.admitted { Ok(()) } else { Err(wait) },
        level_tokens: reply.level_tokens,
        admitted_per_second: reply.admitted_tokens_per_second,
    })
}
