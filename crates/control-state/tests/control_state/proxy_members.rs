//! The address of a member's proxy is published to the other proxies while its session is open.

use crate::fixtures::command;
use millford_api::command::{CloseSession, OpenSession, command::Kind};
use millford_api::state::{StateValue, state_value};
use millford_control_state::{ShardMachine, keys};
use millford_core::ShardId;

fn open(boot_id: u64, exchange_address: &str) -> Kind {
    Kind::OpenSession(OpenSession {
        member: "agent-1".to_owned(),
        boot_id,
        zone: "a".to_owned(),
        address: String::new(),
        exchange_address: exchange_address.to_owned(),
    })
}

fn published_address(machine: &ShardMachine) -> Option<String> {
    let value: &StateValue = machine.public_state().get(&keys::proxy_member("agent-1"))?;
    match &value.kind {
        Some(state_value::Kind::ProxyMember(member)) => Some(member.exchange_address.clone()),
        _ => None,
    }
}

#[test]
fn a_proxy_is_published_while_its_session_is_open() {
    let mut machine = ShardMachine::new(ShardId(1));
    let opened = machine.apply(1, 1, &command(open(1, "10.0.0.1:7000")));
    assert_eq!(opened.changes.len(), 1);
    assert_eq!(
        published_address(&machine).as_deref(),
        Some("10.0.0.1:7000")
    );
    let resent = machine.apply(2, 1, &command(open(1, "10.0.0.1:7000")));
    assert!(resent.changes.is_empty(), "nothing changed");
    machine.apply(3, 1, &command(open(2, "10.0.0.2:7000")));
    assert_eq!(
        published_address(&machine).as_deref(),
        Some("10.0.0.2:7000")
    );
    let close = |epoch| {
        command(Kind::CloseSession(CloseSession {
            member: "agent-1".to_owned(),
            epoch,
            expired: true,
        }))
    };
    machine.apply(4, 1, &close(1));
    assert!(
        published_address(&machine).is_some(),
        "closing an older epoch does not end the newer session"
    );
    let mut restored = ShardMachine::new(ShardId(1));
    restored.restore(&machine.snapshot()).expect("a snapshot");
    restored.apply(5, 1, &close(2));
    assert_eq!(published_address(&restored), None);
}

#[test]
fn a_member_without_a_proxy_is_not_published() {
    let mut machine = ShardMachine::new(ShardId(1));
    machine.apply(1, 1, &command(open(1, "10.0.0.1:7000")));
    machine.apply(2, 1, &command(open(2, "")));
    assert_eq!(published_address(&machine), None);
}
