//! Canonical form of documents, and round trips through JSON.

use crate::fixtures::{pool, route, tenant, valid_document};
use millford_api::config::{Document, Hedge, Quota, Selector};
use millford_control_state::document;
use quickcheck::{Arbitrary, Gen, quickcheck};

#[test]
fn the_digest_does_not_depend_on_order_or_on_explicit_defaults() {
    let mut other = valid_document();
    other.routes.reverse();
    other.tenants.reverse();
    other.pools.reverse();
    assert_eq!(
        document::digest(&other),
        document::digest(&valid_document())
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
        document::digest(&valid_document())
    );
}

/// A document of random values, valid or not.
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
        document.empty_tenant_list = count == 0 && bool::arbitrary(generator);
        AnyDocument(document)
    }
}

quickcheck! {
    fn a_document_round_trips_through_json(any: AnyDocument) -> bool {
        let text = serde_json::to_vec(&any.0).expect("JSON");
        document::parse(&text).as_ref() == Ok(&any.0)
    }

    fn canonical_json_reads_back_as_the_normalized_document(any: AnyDocument) -> bool {
        let text = document::canonical_json(&any.0);
        document::parse(&text).as_ref() == Ok(&document::normalized(&any.0))
    }

    /// Reading and checking do not panic on malformed input.
    fn truncated_or_corrupted_text_never_panics(any: AnyDocument, at: usize, byte: u8) -> bool {
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
