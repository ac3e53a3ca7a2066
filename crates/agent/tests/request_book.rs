//! Quota requests that are sent again.

use millford_agent::quota::RequestBook;
use millford_api::internal::{QuotaRequest, TenantQuotaRequest};
use millford_core::{Duration, MonotonicTime};

fn ask(waiting: u32, oldest_wait_ms: u32) -> TenantQuotaRequest {
    TenantQuotaRequest {
        tenant: "t".to_owned(),
        tokens: waiting,
        waiting,
        oldest_wait_ms,
        ..TenantQuotaRequest::default()
    }
}

/// The leader credits a tenant with what the rate gave while it could not hear the node; an old figure would
/// make it refuse calls that an exact bucket had served.
#[test]
fn a_request_that_is_sent_again_says_what_its_calls_have_waited_by_now() {
    let start = MonotonicTime::from_millis(10_000);
    let mut book = RequestBook::default();
    let request = QuotaRequest {
        request_id: 7,
        tenants: vec![ask(3, 20), ask(0, 0)],
        ..QuotaRequest::default()
    };
    book.sent(start, request);
    for passed in [300, 700] {
        let again = book.due(start + Duration::from_millis(passed));
        assert_eq!(again.len(), 1);
        assert_eq!(again[0].request_id, 7);
        let waits: Vec<u32> = again[0]
            .tenants
            .iter()
            .map(|ask| ask.oldest_wait_ms)
            .collect();
        assert_eq!(waits, [20 + u32::try_from(passed).unwrap(), 0]);
    }
}
