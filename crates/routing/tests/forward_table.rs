//! Tests of forwarding routes, the prefix index, counts published by peers, and inactivity of backends.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use millford_api::config::ForwardRoute;
use millford_api::state::ProxyMember;
use millford_api::state::state_value::Kind;
use millford_core::{Duration, MonotonicTime};
use millford_routing::{
    BackendHealth, CachedBlock, LoadTable, PrefixBlock, PrefixIndex, ReplicaCounts, RoutingTable,
};
use quickcheck::quickcheck;
use support::{replica_key, routing_table};

fn table(routes: &[(&str, &str)]) -> RoutingTable {
    let items = routes.iter().enumerate().map(|(number, (host, prefix))| {
        let route = ForwardRoute {
            name: format!("route-{number}"),
            host: (*host).to_owned(),
            path_prefix: (*prefix).to_owned(),
            ..ForwardRoute::default()
        };
        (
            format!("config/forward/{}", route.name),
            Kind::ForwardRoute(route),
        )
    });
    let peer = ProxyMember {
        name: "node-2".to_owned(),
        ..ProxyMember::default()
    };
    let peer = ("proxy/node-2".to_owned(), Kind::ProxyMember(peer));
    routing_table(items.chain([peer]).collect())
}

fn found(table: &RoutingTable, host: &str, path: &str) -> Option<String> {
    table
        .forward()
        .find(host, path)
        .map(|route| route.name.clone())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(&[
        ("a.example", "/"),
        ("a.example", "/x/"),
        ("a.example", "/x/y/"),
        ("B.example", "/x/"),
    ]);
    let cases = [
        ("a.example", "/x/y/z", Some("route-2")),
        ("a.example", "/x/yz", Some("route-1")),
        ("a.example", "/x", Some("route-0")),
        ("A.Example:8080", "/x/", Some("route-1")),
        ("b.example", "/x/1", Some("route-3")),
        ("b.example", "/", None),
        ("", "/x/", None),
    ];
    for (host, path, expected) in cases {
        let found = found(&table, host, path);
        assert_eq!(found.as_deref(), expected, "{host}{path}");
    }
    assert_eq!(table.forward().peers().len(), 1);
}

quickcheck! {
    fn a_path_goes_to_its_longest_prefix(lengths: Vec<u8>, depth: u8) -> bool {
        let prefix = |length: u8| format!("/{}", "p/".repeat(usize::from(length % 8)));
        let mut prefixes: Vec<String> = lengths.iter().map(|length| prefix(*length)).collect();
        prefixes.sort();
        prefixes.dedup();
        let routes: Vec<(&str, &str)> = prefixes.iter().map(|prefix| ("h", prefix.as_str())).collect();
        let table = table(&routes);
        let path = prefix(depth);
        let expected = prefixes.iter().filter(|prefix| path.starts_with(prefix.as_str())).max_by_key(|prefix| prefix.len());
        table.forward().find("h", &path).map(|route| route.path_prefix.clone()) == expected.cloned()
    }
}

#[test]
fn blocks_are_located_where_they_were_sent_until_they_expire() {
    let prefix_index = PrefixIndex::default();
    let at = MonotonicTime::from_millis;
    let blocks = [
        PrefixBlock { id: 1, tokens: 10 },
        PrefixBlock { id: 2, tokens: 20 },
        PrefixBlock { id: 3, tokens: 30 },
    ];
    prefix_index.record_dispatch(at(0), "b-1", &blocks, 2);
    let remote = CachedBlock {
        block: 2,
        backend_id: "b-2".to_owned(),
        tokens: 20,
    };
    prefix_index.record_remote_use(at(1000), &remote);
    let backends = |now: u64, block: u64| prefix_index.most_recent_backends(at(now), block, &[], 8);
    assert_eq!(backends(2000, 1), ["b-1"]);
    assert_eq!(backends(2000, 2), ["b-2", "b-1"], "the most recent first");
    assert_eq!(backends(2000, 3), ["b-1"]);
    assert_eq!(
        prefix_index.most_recent_backends(at(2000), 2, &["b-1", "b-3"], 8),
        ["b-1"]
    );
    assert_eq!(
        prefix_index.most_recent_backends(at(2000), 2, &[], 1),
        ["b-2"]
    );
    let announced: Vec<u64> = prefix_index
        .take_announcements()
        .iter()
        .map(|location| location.block)
        .collect();
    assert_eq!(announced, [1, 2], "only shareable blocks are announced");
    assert_eq!(prefix_index.take_announcements(), []);
    assert_eq!(backends(25_500, 1), Vec::<String>::new());
    assert_eq!(backends(25_500, 2), ["b-2"]);
    prefix_index.expire(at(60_000));
    for block in 1..4 {
        assert_eq!(backends(1000, block), Vec::<String>::new());
    }
}

#[test]
fn counts_of_peers_replace_load_snapshots() {
    let table = Arc::new(LoadTable::default());
    table.follow_peers();
    let key = replica_key("b-1", "m");
    let guard = table.start(key.clone(), 100);
    let peer_counts = ReplicaCounts {
        prefill_tokens: 50,
        decode_streams: 2,
        held_requests: 0,
    };
    assert_eq!(table.take_changed(), BTreeSet::from(["b-1".to_owned()]));
    table.set_others("b-1", &BTreeMap::from([(key.clone(), peer_counts)]));
    table.merge_snapshot(&millford_api::internal::LoadSnapshot::default());
    assert_eq!(table.counts(&key).prefill_tokens, 150);
    let own = table.own_work_on("b-1");
    assert_eq!(own.len(), 1);
    assert_eq!((&own[0].0, own[0].1.prefill_tokens), (&key, 100));
    assert_eq!(table.busy_backends().len(), 1);
    table.set_others("b-2", &BTreeMap::new());
    assert_eq!(
        table.counts(&key).decode_streams,
        2,
        "counts of another backend must not change"
    );
    table.set_others("b-1", &BTreeMap::new());
    assert_eq!(table.counts(&key).decode_streams, 0);
    assert_eq!(
        table.take_changed(),
        BTreeSet::new(),
        "peers' counts are not changes of this node's own work"
    );
    drop(guard);
    assert_eq!(table.take_changed(), BTreeSet::from(["b-1".to_owned()]));
    assert_eq!(table.own_work_on("b-1"), []);
    assert_eq!(table.busy_backends(), BTreeSet::new());
}

#[test]
fn a_backend_is_unresponsive_since_its_last_activity_or_the_first_use_after_it() {
    let health = BackendHealth::default();
    let at = MonotonicTime::from_millis;
    let span = Duration::from_millis(600);
    assert!(
        !health.is_unresponsive("b", at(5000), span),
        "nothing was sent"
    );
    health.record_dispatch("b", at(10_000));
    health.record_dispatch("b", at(10_500));
    assert!(!health.is_unresponsive("b", at(10_550), span));
    assert!(
        health.is_unresponsive("b", at(10_600), span),
        "later uses must not restart the timeout"
    );
    health.record_activity("b", at(10_700));
    assert!(!health.is_unresponsive("b", at(11_200), span));
    health.record_dispatch("b", at(20_000));
    assert!(
        !health.is_unresponsive("b", at(20_100), span),
        "the idle time before the use must not count"
    );
}
