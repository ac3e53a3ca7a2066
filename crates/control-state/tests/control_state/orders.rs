//! Orders: one is accepted on each base revision, and resent ones are acknowledged again.

use crate::fixtures::{Machine, order, tenant, valid_document};
use millford_api::command::{PutConfigResult, command_result::Kind};
use millford_api::config::Document;
use millford_control_state::machine::ORDER_HISTORY_LIMIT;
use millford_control_state::{Applied, ShardMachine, document};
use millford_core::{ResultCode, ShardId};

impl Machine {
    fn put(&mut self, base: u64, id: &str, desired: &Document) -> Applied {
        self.apply(&order(base, id, desired))
    }
}

fn result(applied: &Applied) -> PutConfigResult {
    match applied.result.kind {
        Some(Kind::PutConfig(result)) => result,
        _ => panic!("the result is not a reply to an order: {applied:?}"),
    }
}

fn code(applied: &Applied) -> ResultCode {
    ResultCode::from_number(applied.result.code).expect("a known code")
}

fn with_tenant(name: &str) -> Document {
    let mut document = valid_document();
    document.tenants.push(tenant(name));
    document
}

#[test]
fn of_two_orders_on_one_base_exactly_one_is_accepted() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    let first = machine.put(0, "a", &with_tenant("one"));
    let second = machine.put(0, "b", &with_tenant("two"));
    assert_eq!(code(&first), ResultCode::Ok);
    assert_eq!(result(&first).revision, 1);
    assert_eq!(code(&second), ResultCode::RevisionConflict);
    assert_eq!(
        result(&second).revision,
        1,
        "the reply contains the current revision"
    );
    assert!(second.changes.is_empty());
}

#[test]
fn an_order_based_on_a_future_revision_conflicts() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    let ahead = machine.put(5, "a", &valid_document());
    assert_eq!(code(&ahead), ResultCode::RevisionConflict);
    assert_eq!(result(&ahead).revision, 0);
}

#[test]
fn a_resent_order_is_acknowledged_after_hundreds_of_changes_and_a_snapshot() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    machine.put(0, "first", &valid_document());
    for change in 1..700 {
        let applied = machine.put(change, &format!("order-{change}"), &valid_document());
        assert_eq!(code(&applied), ResultCode::Ok);
    }
    let mut restored = ShardMachine::new(ShardId::CONFIGURATION);
    restored
        .restore(&machine.machine.snapshot())
        .expect("a snapshot of this machine");
    machine.machine = restored;
    let again = machine.put(0, "first", &valid_document());
    assert_eq!(code(&again), ResultCode::Ok);
    assert_eq!(result(&again).revision, 1);
    assert!(result(&again).repeated_order);
    assert!(again.changes.is_empty());
}

#[test]
fn without_an_id_the_same_document_on_the_same_base_is_the_same_order() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    machine.put(0, "", &with_tenant("one"));
    machine.put(1, "", &with_tenant("two"));
    let again = machine.put(0, "", &with_tenant("one"));
    assert!(result(&again).repeated_order);
    assert_eq!(result(&again).revision, 1);
    let other = machine.put(0, "", &with_tenant("three"));
    assert_eq!(code(&other), ResultCode::RevisionConflict);
    assert_eq!(result(&other).revision, 2);
}

#[test]
fn an_order_id_belongs_to_one_order() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    machine.put(0, "a", &with_tenant("one"));
    let other_document = machine.put(1, "a", &with_tenant("two"));
    let other_base = machine.put(1, "a", &with_tenant("one"));
    assert_eq!(code(&other_document), ResultCode::OrderIdReused);
    assert_eq!(code(&other_base), ResultCode::OrderIdReused);
    assert_eq!(machine.machine.revision(), 1);
}

#[test]
fn a_new_order_id_on_a_used_base_conflicts_even_with_the_same_document() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    machine.put(0, "a", &valid_document());
    let other = machine.put(0, "b", &valid_document());
    assert_eq!(code(&other), ResultCode::RevisionConflict);
}

#[test]
fn the_history_is_bounded_and_a_dropped_order_is_never_accepted_twice() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    let limit = ORDER_HISTORY_LIMIT as u64;
    let empty = Document::default();
    for base in 0..=limit {
        machine.put(base, &format!("order-{base}"), &empty);
    }
    let oldest_retained = machine.put(1, "order-1", &empty);
    assert!(result(&oldest_retained).repeated_order);
    let dropped = machine.put(0, "order-0", &empty);
    assert_eq!(code(&dropped), ResultCode::RevisionConflict);
    assert_eq!(result(&dropped).revision, limit + 1);
}

#[test]
fn an_accepted_order_changes_only_what_differs() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    machine.put(0, "a", &valid_document());
    let mut desired = valid_document();
    desired.tenants.remove(1);
    desired.tenants.push(tenant("shop"));
    desired.routes[0].deadline_ms = 9_000;
    let applied = machine.put(1, "b", &desired);
    let keys: Vec<&str> = applied
        .changes
        .iter()
        .map(|item| item.key.as_str())
        .collect();
    let expected = [
        "config/head",
        "config/route/captions",
        "config/tenant/school",
        "config/tenant/shop",
    ];
    assert_eq!(keys, expected);
    assert!(
        applied.changes[2].value.is_none(),
        "the tenant school is deleted"
    );
}

#[test]
fn the_document_can_be_rebuilt_from_the_public_state() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    let mut desired = valid_document();
    desired.routes.reverse();
    machine.put(0, "a", &desired);
    let back = document::document_of(machine.machine.public_state().values());
    assert_eq!(back, document::normalized(&desired));
    assert_eq!(document::digest(&back), document::digest(&desired));
}
