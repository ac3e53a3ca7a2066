//! Tests of the leases of sessions.

use std::time::Duration;

use millford_api::command::SessionRecord;
use millford_core::MonotonicTime;
use millford_membership::{ExpiredSession, SessionTable};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn record(member: &str, epoch: u64) -> SessionRecord {
    SessionRecord {
        member: member.to_owned(),
        epoch,
        ..SessionRecord::default()
    }
}

fn expired(member: &str, epoch: u64) -> ExpiredSession {
    ExpiredSession {
        member: member.to_owned(),
        epoch,
    }
}

#[test]
fn a_session_expires_after_a_lease_without_heartbeat_and_is_returned_once() {
    let mut table = SessionTable::new(Duration::from_secs(3));
    table.opened(at(0), "agent", 1);
    assert!(table.renew(at(1000), "agent", 1, 5));
    assert!(table.take_expired(at(3999)).is_empty());
    assert_eq!(table.take_expired(at(4000)), [expired("agent", 1)]);
    assert!(table.take_expired(at(9000)).is_empty());
    assert!(
        !table.renew(at(4001), "agent", 1, 5),
        "an expired session must not be renewed"
    );
}

#[test]
fn a_new_leader_grants_every_session_a_full_lease() {
    let mut table = SessionTable::new(Duration::from_secs(3));
    let records = [record("a", 1), record("b", 2)];
    table.lead(at(60_000), records.iter());
    assert!(table.take_expired(at(62_999)).is_empty());
    assert!(table.renew(at(62_999), "b", 2, 0));
    assert_eq!(table.take_expired(at(63_000)), [expired("a", 1)]);
}

#[test]
fn an_older_epoch_neither_renews_nor_closes_a_session() {
    let mut table = SessionTable::default();
    table.opened(at(0), "agent", 2);
    assert!(
        !table.renew(at(1), "agent", 1, 0),
        "an older epoch is fenced"
    );
    table.closed("agent", 1);
    assert_eq!(table.epoch("agent"), Some(2));
    table.closed("agent", 2);
    assert_eq!(table.epoch("agent"), None);
}

#[test]
fn an_expired_session_whose_closing_was_not_proposed_is_returned_again() {
    let mut table = SessionTable::new(Duration::from_secs(3));
    table.opened(at(0), "agent", 1);
    assert_eq!(table.take_expired(at(3000)).len(), 1);
    table.reopen_expired("agent", 1);
    assert_eq!(table.take_expired(at(3020)), [expired("agent", 1)]);
}

#[test]
fn an_applied_revision_never_decreases() {
    let mut table = SessionTable::default();
    table.opened(at(0), "agent", 1);
    table.renew(at(1), "agent", 1, 7);
    table.renew(at(2), "agent", 1, 6);
    assert_eq!(table.applied_revision("agent"), 7);
}
