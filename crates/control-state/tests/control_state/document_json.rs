//! Documents and orders that cannot be read: each fault is reported with its code and path.

use crate::fixtures::valid_document;
use millford_control_state::document::{self, Fault};
use millford_core::ResultCode::{self, BadField, BadJson, DocumentInvalid};
use serde_json::{Value, json};

/// Asserts that the JSON cannot be read and that the faults have exactly these codes and paths.
fn assert_unreadable(text: &str, expected: &[(ResultCode, &str)]) {
    let faults = document::parse(text.as_bytes()).expect_err("must not be read");
    let found: Vec<_> = faults
        .iter()
        .map(|fault| (fault.code, fault.path.as_str()))
        .collect();
    assert_eq!(found, expected, "{faults:?}");
}

#[test]
fn text_that_is_not_json_is_refused() {
    for text in ["", "{", "nonsense", "{} {}", "{\"routes\":[]} x"] {
        assert_unreadable(text, &[(BadJson, "")]);
    }
    assert_unreadable("{\"routes\": [}", &[(BadJson, "routes[0]")]);
}

#[test]
fn fields_that_cannot_be_read_are_reported_with_their_path() {
    assert_unreadable("[]", &[(BadField, "")]);
    assert_unreadable("{\"routes\": [[\"a\"]]}", &[(BadField, "routes[0]")]);
    assert_unreadable(
        "{\"tenants\": [{\"quota\": [1, 2, 3]}]}",
        &[(BadField, "tenants[0].quota")],
    );
    assert_unreadable("{\"lanes\": []}", &[(BadField, "lanes")]);
    assert_unreadable("{\"routes\": {}}", &[(BadField, "routes")]);
    assert_unreadable(
        "{\"routes\": [{\"name\": \"a\", \"deadline\": 1}]}",
        &[(BadField, "routes[0].deadline")],
    );
    assert_unreadable(
        "{\"routes\": [{\"deadline_ms\": -1}]}",
        &[(BadField, "routes[0].deadline_ms")],
    );
    assert_unreadable(
        "{\"routes\": [{\"resume\": \"sometimes\"}]}",
        &[(BadField, "routes[0].resume")],
    );
    assert_unreadable(
        "{\"tenants\": [{\"quota\": {\"burst\": 4294967296}}]}",
        &[(BadField, "tenants[0].quota.burst")],
    );
    // A duplicate field: the fault's text names the field, the path is that of the enclosing
    // object.
    assert_unreadable("{\"routes\": [], \"routes\": []}", &[(BadField, "")]);
    assert_unreadable(
        "{\"pools\": [{\"name\": \"a\", \"name\": \"b\"}]}",
        &[(BadField, "pools[0]")],
    );
}

#[test]
fn every_entry_that_cannot_be_read_is_reported() {
    assert_unreadable(
        "{\"routes\": [{\"x\": 1}, {}, {\"pool\": 2}], \"pools\": [3], \"other\": 1}",
        &[
            (BadField, "other"),
            (BadField, "pools[0]"),
            (BadField, "routes[0].x"),
            (BadField, "routes[2].pool"),
        ],
    );
}

/// Orders that are refused, each with the code and path of its only fault.
fn invalid_orders() -> [(Value, ResultCode, &'static str); 9] {
    let valid = serde_json::to_value(valid_document()).expect("JSON");
    let bad = json!({"routes": [{"x": 1}]});
    let unknown_pool = json!({"routes": [{"name": "a", "pool": "b", "deadline_ms": 1000}]});
    [
        (json!([0, "a", valid]), BadField, ""),
        (json!({"document": valid}), BadField, ""),
        (json!({"base_revision": 0}), BadField, ""),
        (
            json!({"base_revision": -1, "document": valid}),
            BadField,
            "base_revision",
        ),
        (
            json!({"base_revision": "1", "document": valid}),
            BadField,
            "base_revision",
        ),
        (
            json!({"base_revision": 0, "document": valid, "force": true}),
            BadField,
            "force",
        ),
        (
            json!({"base_revision": 0, "document": bad}),
            BadField,
            "document.routes[0].x",
        ),
        (
            json!({"base_revision": 0, "document": unknown_pool}),
            DocumentInvalid,
            "document.routes[0].pool",
        ),
        (
            json!({"base_revision": 0, "order_id": "a b", "document": valid}),
            BadField,
            "order_id",
        ),
    ]
}

#[test]
fn faults_of_orders_are_reported_with_code_and_path() {
    for (order, code, path) in invalid_orders() {
        let text = order.to_string();
        let faults = document::parse_order(text.as_bytes()).expect_err("must be refused");
        assert_eq!(
            (faults[0].code, faults[0].path.as_str()),
            (code, path),
            "{text}"
        );
        assert_eq!(faults.len(), 1, "{faults:?}");
    }
    let faults = document::parse_order(b"{").expect_err("must be refused");
    assert_eq!(Fault::overall(&faults), BadJson);
}

#[test]
fn the_command_of_a_valid_order_contains_the_digest_of_its_document() {
    let order = json!({
        "base_revision": 7,
        "order_id": "order-1",
        "document": serde_json::to_value(valid_document()).expect("JSON"),
    });
    let put = document::parse_order(order.to_string().as_bytes()).expect("a valid order");
    assert_eq!((put.base_revision, put.order_id.as_str()), (7, "order-1"));
    assert_eq!(put.digest, document::digest(&valid_document()));
}
