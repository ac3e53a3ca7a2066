//! The limits of the document checks equal those that the `OpenAPI` file documents for operators.

use std::ops::RangeInclusive;

use millford_control_state::document::limits;
use serde_json::{Value, json};

fn schemas() -> Value {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../api/openapi/operator.json");
    let text = std::fs::read_to_string(path).expect("the OpenAPI file");
    let specification: Value = serde_json::from_str(&text).expect("JSON");
    specification["components"]["schemas"].clone()
}

#[test]
fn ranges_equal_those_of_the_openapi_file() {
    let schemas = schemas();
    let expected: [(&str, &str, RangeInclusive<u32>); 9] = [
        ("Route", "deadline_ms", limits::DEADLINE_MS),
        ("Hedge", "delay_ms", limits::HEDGE_DELAY_MS),
        ("Pool", "drain_ms", limits::DRAIN_MS),
        ("Pool", "bandwidth_ceiling_percent", limits::PERCENT),
        ("Pool", "transition_budget_percent", limits::PERCENT),
        ("Pool", "longest_deferral_ms", limits::LONGEST_DEFERRAL_MS),
        ("Quota", "requests_per_second", limits::REQUESTS_PER_SECOND),
        ("Quota", "burst", limits::BURST),
        ("Quota", "concurrent_streams", limits::CONCURRENT_STREAMS),
    ];
    for (schema, field, range) in expected {
        let field = &schemas[schema]["properties"][field];
        assert_eq!(field["minimum"], json!(range.start()), "{schema} {field}");
        assert_eq!(field["maximum"], json!(range.end()), "{schema} {field}");
    }
}

#[test]
fn counts_and_lengths_equal_those_of_the_openapi_file() {
    let schemas = schemas();
    let property = |schema: &str, field: &str| schemas[schema]["properties"][field].clone();
    let counts = [
        ("Document", "routes", limits::MAX_ROUTES),
        ("Document", "forward_routes", limits::MAX_FORWARD_ROUTES),
        ("ForwardRoute", "pools", limits::MAX_POOLS_PER_ROUTE),
        ("Document", "pools", limits::MAX_POOLS),
        ("Document", "tenants", limits::MAX_TENANTS),
        ("Tenant", "key_hashes", limits::MAX_KEYS_PER_TENANT),
        ("Selector", "adapters", limits::MAX_ADAPTERS),
    ];
    for (schema, field, limit) in counts {
        assert_eq!(
            property(schema, field)["maxItems"],
            json!(limit),
            "{schema} {field}"
        );
    }
    let lengths = [
        ("Route", "name", limits::MAX_NAME_LENGTH),
        ("RouteMatch", "model", limits::MAX_LABEL_LENGTH),
        ("RouteMatch", "path_prefix", limits::MAX_PATH_LENGTH),
        ("PutConfigBody", "order_id", limits::MAX_ORDER_ID_LENGTH),
    ];
    for (schema, field, limit) in lengths {
        assert_eq!(
            property(schema, field)["maxLength"],
            json!(limit),
            "{schema} {field}"
        );
    }
}
