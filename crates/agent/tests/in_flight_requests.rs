//! Resent quota requests.

use millford_agent::quota::InFlightRequests;
use millford_api::internal::{QuotaRequest, TenantQuotaRequest};
use millford_core::{Duration, MonotonicTime};

fn tenant_request(waiting: u32, oldest_wait_ms: u32) -> TenantQuotaRequest {
    TenantQuotaRequest {
        tenant: "t".to_owned(),
        tokens: waiting,
        waiting,
        oldest_wait_ms,
        ..TenantQuotaRequest::default()
    }
}

/// The leader credits a tenant with the tokens that the rate provided while the leader was not
/// connected to the node. An outdated waiting time would make it refuse requests that an exact
/// token bucket would have granted.
#[test]
fn a_resent_request_reports_the_current_waiting_time() {
    let start = MonotonicTime::from_millis(10_000);
    let mut in_flight = InFlightRequests::default();
    let request = QuotaRequest {
        request_id: 7,
        tenants: vec![tenant_request(3, 20), tenant_request(0, 0)],
        ..QuotaRequest::default()
    };
    in_flight.record_sent(start, request);
    for passed in [300, 700] {
        let resent = in_flight.due_requests(start + Duration::from_millis(passed));
        assert_eq!(resent.len(), 1);
        assert_eq!(resent[0].request_id, 7);
        let waits: Vec<u32> = resent[0]
            .tenants
            .iter()
            .map(|tenant| tenant.oldest_wait_ms)
            .collect();
        assert_eq!(waits, [20 + u32::try_from(passed).unwrap(), 0]);
    }
}
