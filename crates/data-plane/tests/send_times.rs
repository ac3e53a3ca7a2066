//! Tests of the send times: quota requests that are sent again contain the time waited, and late grants
//! are detected.

use millford_api::local::{LocalFrame, LocalQuotaRequest, local_frame};
use millford_core::{Duration, MonotonicTime};
use millford_data_plane::agent_link::send_times::SendTimes;

const START: MonotonicTime = MonotonicTime::from_millis(5_000);

fn after(millis: u64) -> MonotonicTime {
    START + Duration::from_millis(millis)
}

fn quota_request() -> LocalQuotaRequest {
    LocalQuotaRequest {
        request_id: 1,
        tenant: "t".to_owned(),
        stream: true,
        timeout_ms: 3_000,
        waited_ms: 0,
    }
}

#[test]
fn a_resent_quota_request_contains_the_time_waited_and_the_time_left() {
    let mut times = SendTimes::at(START);
    let mut frame = LocalFrame {
        body: Some(local_frame::Body::QuotaRequest(quota_request())),
    };
    times.renew(after(1_200), &mut frame);
    let expected = LocalQuotaRequest {
        timeout_ms: 1_800,
        waited_ms: 1_200,
        ..quota_request()
    };
    assert_eq!(frame.body, Some(local_frame::Body::QuotaRequest(expected)));
}

#[test]
fn a_grant_is_late_once_its_validity_after_the_last_send_is_over() {
    let limit = Some(Duration::from_secs(1));
    let mut times = SendTimes::at(START);
    assert!(!times.is_late(after(999), limit));
    assert!(times.is_late(after(1_000), limit));
    assert!(!times.is_late(after(60_000), None));
    times.renew(after(900), &mut LocalFrame::default());
    assert!(!times.is_late(after(1_899), limit));
    assert!(times.is_late(after(1_900), limit));
}
