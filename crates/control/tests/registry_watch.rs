//! The poll period of the service registry.

use std::time::Duration;

use millford_control::daemon::registry_watch::poll_period;

#[test]
fn the_poll_period_grows_with_the_requests_of_a_read_up_to_its_maximum() {
    assert_eq!(poll_period(0), Duration::from_millis(500));
    assert_eq!(poll_period(1), Duration::from_millis(500));
    assert_eq!(poll_period(3), Duration::from_millis(500));
    assert_eq!(poll_period(6), Duration::from_millis(900));
    assert_eq!(poll_period(24), Duration::from_secs(1));
}
