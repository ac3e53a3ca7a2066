//! A list of tenants that is present but empty: from the operator's JSON through the log and snapshots to the items of the
//! feed. Guards against a control plane that takes it for an absent list, after which any key is let in (review/2).

use crate::fixtures::{Machine, order, valid_document};
use millford_api::command::Command;
use millford_api::config::Document;
use millford_api::state::{StateValue, state_value::Kind};
use millford_control_state::{document, keys};
use millford_core::ShardId;
use prost::Message;

fn with_empty_list() -> Document {
    Document {
        tenants: Vec::new(),
        empty_tenant_list: true,
        ..valid_document()
    }
}

fn without_list() -> Document {
    Document {
        tenants: Vec::new(),
        ..valid_document()
    }
}

/// Whether the public state, as the feed sends it, has the item of an empty list.
fn has_item(machine: &Machine) -> bool {
    let item = machine.machine.public_state().get(keys::EMPTY_TENANT_LIST);
    matches!(
        item,
        Some(StateValue {
            kind: Some(Kind::EmptyTenantList(_))
        })
    )
}

#[test]
fn json_tells_an_empty_list_from_an_absent_one() {
    let empty = document::parse(b"{\"tenants\":[]}").expect("readable");
    assert!(empty.empty_tenant_list);
    let absent = document::parse(b"{}").expect("readable");
    assert!(!absent.empty_tenant_list);
    for document in [&empty, &absent] {
        let json = document::canonical_json(document);
        assert_eq!(document::parse(&json).as_ref(), Ok(document));
    }
}

#[test]
fn null_is_no_list_of_tenants() {
    let faults = document::parse(b"{\"tenants\":null}").expect_err("must not be read");
    assert_eq!(faults[0].path, "tenants");
}

/// The digest of a document without the list is that of earlier releases, whose canonical JSON had an empty list.
#[test]
fn documents_that_differ_only_in_the_list_have_different_digests() {
    let (empty, absent) = (with_empty_list(), without_list());
    assert_ne!(document::digest(&empty), document::digest(&absent));
    let of_earlier_releases = "75ca5423aabd8014847b79f887ee4160a69096b58b6885c1c3e06803465d3169";
    assert_eq!(
        hex::encode(document::digest(&Document::default())),
        of_earlier_releases
    );
}

#[test]
fn an_order_that_empties_the_list_is_applied_and_read_back() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    machine.apply(&order(0, "", &valid_document()));
    assert!(!has_item(&machine));
    machine.apply(&order(1, "", &with_empty_list()));
    assert!(has_item(&machine));
    let read_back = document::document_of(machine.machine.public_state().values());
    assert_eq!(read_back, document::normalized(&with_empty_list()));
}

#[test]
fn the_item_goes_when_the_list_has_tenants_again_or_is_dropped() {
    for next in [valid_document(), without_list()] {
        let mut machine = Machine::new(ShardId::CONFIGURATION);
        machine.apply(&order(0, "", &with_empty_list()));
        assert!(has_item(&machine));
        machine.apply(&order(1, "", &next));
        assert!(!has_item(&machine));
    }
}

#[test]
fn log_entries_and_snapshots_keep_an_empty_list() {
    let logged = order(0, "", &with_empty_list()).encode_to_vec();
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    machine.apply(&Command::decode(&logged[..]).expect("a command"));
    let mut restored = Machine::new(ShardId::CONFIGURATION);
    let snapshot = machine.machine.snapshot();
    restored.machine.restore(&snapshot).expect("a snapshot");
    assert!(has_item(&restored));
}
