//! Documents and orders: every fault with its code and path, all at once.

mod support;

use millford_api::config::{Document, Hedge, Quota, Resume, RouteMatch, Selector};
use millford_control_state::document::{self, Fault, limits};
use millford_core::ResultCode::{BadField, BadJson, DocumentInvalid};
use quickcheck::{Arbitrary, Gen, quickcheck};
use serde_json::{Value, json};
use support::{pool, route, sound_document, tenant};

/// The faults' paths.
fn paths(faults: &[Fault]) -> Vec<&str> {
    faults.iter().map(|fault| fault.path.as_str()).collect()
}

/// Checks that changing the sound document so gives exactly one fault, at this path.
fn assert_invalid(path: &str, change: impl FnOnce(&mut Document)) {
    let mut changed = sound_document();
    change(&mut changed);
    let faults = document::check(&changed);
    assert_eq!(paths(&faults), [path], "{faults:?}");
    assert_eq!(faults[0].code, DocumentInvalid);
    assert!(!faults[0].text.is_empty());
}

/// Checks that the JSON cannot be read, with exactly these codes and paths.
fn assert_unreadable(text: &str, expected: &[(millford_core::ResultCode, &str)]) {
    let faults = document::parse(text.as_bytes()).expect_err("must not be read");
    let found: Vec<_> = faults
        .iter()
        .map(|fault| (fault.code, fault.path.as_str()))
        .collect();
    assert_eq!(found, expected, "{faults:?}");
}

#[test]
fn the_sound_document_has_no_fault() {
    assert_eq!(document::check(&sound_document()), []);
}

#[test]
fn names_are_checked() {
    assert_invalid("routes[0].name", |document| document.routes[0].name.clear());
    assert_invalid("routes[1].name", |document| {
        document.routes[1].name = "captions".to_owned();
    });
    assert_invalid("pools[2].name", |document| {
        document.pools.push(pool("saga"))
    });
    assert_invalid("tenants[2].name", |document| {
        let mut twice = tenant("library");
        twice.key_hashes.clear();
        document.tenants.push(twice);
    });
    assert_invalid("routes[0].name", |document| {
        document.routes[0].name = "a/b".to_owned();
    });
    assert_invalid("tenants[0].name", |document| {
        document.tenants[0].name = "-library".to_owned();
    });
    assert_invalid("tenants[0].name", |document| {
        document.tenants[0].name = "bókasafn".to_owned();
    });
    assert_invalid("routes[0].name", |document| {
        document.routes[0].name = "x".repeat(limits::MAX_NAME_LENGTH + 1);
    });
}

#[test]
fn references_to_pools_are_checked() {
    assert_invalid("routes[0].pool", |document| {
        document.routes[0].pool = "nowhere".to_owned();
    });
    assert_invalid("routes[0].pool", |document| document.routes[0].pool.clear());
    assert_invalid("routes[0].pool", |document| {
        document.routes[0].pool = "pool-edda".to_owned();
    });
}

#[test]
fn ranges_of_routes_are_checked() {
    for deadline in [0, 99, 3_600_001] {
        assert_invalid("routes[0].deadline_ms", |document| {
            document.routes[0].deadline_ms = deadline;
        });
    }
    for delay in [0, 9, 60_001, 30_000] {
        assert_invalid("routes[0].hedge.delay_ms", |document| {
            document.routes[0].hedge = Some(Hedge { delay_ms: delay });
        });
    }
}

#[test]
fn ranges_of_pools_are_checked() {
    assert_invalid("pools[0].drain_ms", |document| {
        document.pools[0].drain_ms = 60_001;
    });
    assert_invalid("pools[0].bandwidth_ceiling_percent", |document| {
        document.pools[0].bandwidth_ceiling_percent = 101;
    });
    assert_invalid("pools[1].transition_budget_percent", |document| {
        document.pools[1].transition_budget_percent = 200;
    });
    assert_invalid("pools[0].longest_deferral_ms", |document| {
        document.pools[0].longest_deferral_ms = 86_400_001;
    });
    assert_invalid("pools[0].target_version", |document| {
        let selector = document.pools[0].selector.get_or_insert_default();
        selector.version = "1".to_owned();
        document.pools[0].target_version = "2".to_owned();
    });
    assert_invalid("pools[0].selector.adapters[1]", |document| {
        let selector = document.pools[0].selector.get_or_insert_default();
        selector.adapters = vec!["captions".to_owned(), String::new()];
    });
    assert_invalid("pools[0].selector.stage", |document| {
        let selector = document.pools[0].selector.get_or_insert_default();
        selector.stage = "a b".to_owned();
    });
}

#[test]
fn keys_are_checked() {
    assert_invalid("tenants[0].key_hashes[0]", |document| {
        document.tenants[0].key_hashes[0] = "abc".to_owned();
    });
    assert_invalid("tenants[0].key_hashes[0]", |document| {
        let upper = document.tenants[0].key_hashes[0].to_uppercase();
        document.tenants[0].key_hashes[0] = upper;
    });
    assert_invalid("tenants[1].key_hashes[0]", |document| {
        document.tenants[1].key_hashes = document.tenants[0].key_hashes.clone();
    });
    assert_invalid("tenants[0].key_hashes", |document| {
        let hash = |number| millford_core::hash_tenant_key(&format!("{number}"));
        document.tenants[0].key_hashes = (0..17).map(hash).collect();
    });
}

#[test]
fn quotas_are_checked() {
    assert_invalid("tenants[0].quota", |document| {
        document.tenants[0].quota = None
    });
    let wrong = [
        ("requests_per_second", support::quota(0, 20, 4)),
        ("burst", support::quota(10, 0, 4)),
        ("requests_per_second", support::quota(1_000_001, 20, 4)),
        ("concurrent_streams", support::quota(10, 20, 1_000_001)),
    ];
    for (field, quota) in wrong {
        assert_invalid(&format!("tenants[0].quota.{field}"), |document| {
            document.tenants[0].quota = Some(quota);
        });
    }
}

#[test]
fn what_is_sent_once_is_neither_hedged_nor_resumed() {
    assert_invalid("routes[0].hedge", |document| {
        document.routes[0].repeatable = false;
        document.routes[0].hedge = Some(Hedge { delay_ms: 500 });
    });
    for resume in [Resume::FromStart, Resume::Continue] {
        assert_invalid("routes[0].resume", |document| {
            document.routes[0].repeatable = false;
            document.routes[0].resume = resume.into();
        });
    }
}

#[test]
fn lookup_routes_are_checked() {
    let lookup = |path_prefix: &str, model: &str| {
        Some(RouteMatch {
            path_prefix: path_prefix.to_owned(),
            model: model.to_owned(),
            ..RouteMatch::default()
        })
    };
    assert_invalid("routes[0].match.model", |document| {
        document.routes[0].r#match = lookup("/entries/", "saga");
    });
    assert_invalid("routes[0].resume", |document| {
        document.routes[0].r#match = lookup("/entries/", "");
        document.routes[0].resume = Resume::FromStart.into();
    });
    for wrong in [
        "entries",
        "/a b",
        "/a?b",
        "/metrics",
        "/v1/chat/completions",
    ] {
        assert_invalid("routes[0].match.path_prefix", |document| {
            document.routes[0].r#match = lookup(wrong, "");
        });
    }
}

#[test]
fn a_route_that_is_never_reached_is_a_fault() {
    assert_invalid("routes[2].match", |document| {
        document.routes.push(route("again", "saga"));
    });
    assert_invalid("routes[3].match", |document| {
        let mut first = route("all", "saga");
        first.r#match = None;
        let mut second = first.clone();
        second.name = "all-again".to_owned();
        second.r#match = Some(RouteMatch::default());
        document.routes.extend([first, second]);
    });
}

#[test]
fn all_faults_are_found_at_once() {
    let mut document = sound_document();
    document.routes[0].deadline_ms = 1;
    document.routes[1].pool = "nowhere".to_owned();
    document.pools[1].drain_ms = 99_999;
    document.tenants[0].quota = None;
    let faults = document::check(&document);
    let expected = [
        "routes[0].deadline_ms",
        "routes[1].pool",
        "pools[1].drain_ms",
        "tenants[0].quota",
    ];
    assert_eq!(paths(&faults), expected);
}

#[test]
fn text_that_is_no_json_is_refused() {
    for text in ["", "{", "nonsense", "{} {}", "{\"routes\":[]} x"] {
        assert_unreadable(text, &[(BadJson, "")]);
    }
    assert_unreadable("{\"routes\": [}", &[(BadJson, "routes[0]")]);
}

#[test]
fn fields_that_cannot_be_read_are_named() {
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
    // A field given twice: the sentence names it, the path is that of its object.
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

#[test]
fn faults_of_orders_are_named() {
    let sound = serde_json::to_value(sound_document()).expect("JSON");
    let bad = json!({"routes": [{"x": 1}]});
    let unknown_pool = json!({"routes": [{"name": "a", "pool": "b", "deadline_ms": 1000}]});
    let cases: [(Value, millford_core::ResultCode, &str); 9] = [
        (json!([0, "a", sound]), BadField, ""),
        (json!({"document": sound}), BadField, ""),
        (json!({"base_revision": 0}), BadField, ""),
        (
            json!({"base_revision": -1, "document": sound}),
            BadField,
            "base_revision",
        ),
        (
            json!({"base_revision": "1", "document": sound}),
            BadField,
            "base_revision",
        ),
        (
            json!({"base_revision": 0, "document": sound, "force": true}),
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
            json!({"base_revision": 0, "order_id": "a b", "document": sound}),
            BadField,
            "order_id",
        ),
    ];
    for (order, code, path) in cases {
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
fn a_sound_order_carries_the_digest_of_its_document() {
    let order = json!({
        "base_revision": 7,
        "order_id": "order-1",
        "document": serde_json::to_value(sound_document()).expect("JSON"),
    });
    let put = document::parse_order(order.to_string().as_bytes()).expect("a sound order");
    assert_eq!((put.base_revision, put.order_id.as_str()), (7, "order-1"));
    assert_eq!(put.digest, document::digest(&sound_document()));
}

#[test]
fn the_digest_does_not_depend_on_order_or_on_written_out_defaults() {
    let mut other = sound_document();
    other.routes.reverse();
    other.tenants.reverse();
    other.pools.reverse();
    assert_eq!(
        document::digest(&other),
        document::digest(&sound_document())
    );
    let short = document::parse(b"{\"pools\":[{\"name\":\"a\"}]}").expect("readable");
    let long = document::parse(
        b"{\"pools\":[{\"name\":\"a\",\"selector\":{},\"drain_ms\":0}],\"routes\":[]}",
    );
    assert_eq!(
        document::digest(&short),
        document::digest(&long.expect("readable"))
    );
    other.routes[0].deadline_ms += 1;
    assert_ne!(
        document::digest(&other),
        document::digest(&sound_document())
    );
}

/// A document of random values, sound or not.
#[derive(Clone, Debug)]
struct AnyDocument(Document);

impl Arbitrary for AnyDocument {
    fn arbitrary(generator: &mut Gen) -> Self {
        let count = usize::from(u8::arbitrary(generator) % 4);
        let mut document = Document::default();
        for _ in 0..count {
            let mut any_route = route(&String::arbitrary(generator), &String::arbitrary(generator));
            any_route.deadline_ms = u32::arbitrary(generator);
            any_route.resume = i32::from(u8::arbitrary(generator) % 3);
            any_route.repeatable = bool::arbitrary(generator);
            any_route.hedge =
                Option::<u32>::arbitrary(generator).map(|delay_ms| Hedge { delay_ms });
            if bool::arbitrary(generator) {
                any_route.r#match = None;
            }
            document.routes.push(any_route);
            let mut any_pool = pool(&String::arbitrary(generator));
            any_pool.drain_ms = u32::arbitrary(generator);
            any_pool.selector = Option::<String>::arbitrary(generator).map(|model| Selector {
                model,
                adapters: Vec::<String>::arbitrary(generator),
                ..Selector::default()
            });
            document.pools.push(any_pool);
            let mut any_tenant = tenant(&String::arbitrary(generator));
            any_tenant.quota = Option::<u32>::arbitrary(generator).map(|burst| Quota {
                burst,
                ..Quota::default()
            });
            document.tenants.push(any_tenant);
        }
        AnyDocument(document)
    }
}

quickcheck! {
    fn a_document_survives_json(any: AnyDocument) -> bool {
        let text = serde_json::to_vec(&any.0).expect("JSON");
        document::parse(&text).as_ref() == Ok(&any.0)
    }

    fn canonical_json_reads_back_as_the_normalized_document(any: AnyDocument) -> bool {
        let text = document::canonical_json(&any.0);
        document::parse(&text).as_ref() == Ok(&document::normalized(&any.0))
    }

    /// Nothing that an operator sends makes the reader or the check panic.
    fn a_cut_or_changed_text_is_judged(any: AnyDocument, at: usize, byte: u8) -> bool {
        let mut text = serde_json::to_vec(&any.0).expect("JSON");
        let at = at % text.len();
        text[at] = byte;
        if let Ok(read) = document::parse(&text) {
            let _ = document::check(&read);
        }
        text.truncate(at);
        document::parse(&text).is_err()
    }
}
