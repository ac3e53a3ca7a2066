//! Plans depend on their seed only, and configurations contain what they say.

use millford_platform_soak::configuration::{Contender, Generation, ITEM_LIFETIME, TenantList};
use millford_platform_soak::plan::SoakPlan;

#[test]
fn a_seed_gives_the_same_plan_and_another_seed_another_plan() {
    let plan = SoakPlan::draw(7, 3, 3);
    assert_eq!(plan, SoakPlan::draw(7, 3, 3));
    assert_ne!(plan, SoakPlan::draw(8, 3, 3));
}

#[test]
fn the_timeline_of_a_machine_does_not_depend_on_the_number_of_machines() {
    let few = SoakPlan::draw(7, 2, 3);
    let many = SoakPlan::draw(7, 40, 3);
    assert_eq!(few.fronts[..], many.fronts[..2]);
    assert_eq!(few.control, many.control);
}

#[test]
fn a_configuration_contains_the_routes_and_keys_of_its_last_generations() {
    let newest = Generation(9);
    let contained: Vec<u64> = newest.contained().map(|generation| generation.0).collect();
    assert_eq!(contained, [7, 8, 9]);
    for added in 1..=12 {
        let expected = contained.contains(&added);
        assert_eq!(
            newest.contains(Generation(added)),
            expected,
            "generation {added}"
        );
    }
    let routes = |contender| {
        let document = newest.document(contender);
        document["routes"].as_array().expect("routes").len() as u64
    };
    assert_eq!(routes(Contender::First), 5 + ITEM_LIFETIME);
    assert_eq!(
        routes(Contender::Rival),
        6 + ITEM_LIFETIME,
        "a route of its own"
    );
}

#[test]
fn some_configurations_have_no_key_or_an_empty_list_of_tenants() {
    let tenants = |generation: Generation| generation.document(Contender::First)["tenants"].clone();
    assert_eq!(Generation(5).tenant_list(), TenantList::WithoutKeys);
    assert_eq!(tenants(Generation(5))[0]["apiKeys"], serde_json::json!([]));
    assert_eq!(Generation(8).tenant_list(), TenantList::Empty);
    assert_eq!(tenants(Generation(8)), serde_json::json!([]));
    let with_keys = Generation(9);
    let keys = tenants(with_keys)[0]["apiKeys"].clone();
    assert_eq!(keys.as_array().map(Vec::len), Some(4));
    assert!(with_keys.holds_key_of(Generation(8)));
    assert!(!Generation(8).holds_key_of(Generation(8)));
}
