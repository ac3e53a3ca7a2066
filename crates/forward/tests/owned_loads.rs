//! Load counts at their owners (order of updates, restarts, expiry), the selection of owners, and timeouts of
//! requests to them.

use std::collections::BTreeMap;

use millford_api::exchange::{BackendInFlight, InFlightUpdate, ReplicaInFlight};
use millford_api::state::ProxyMember;
use millford_core::{Duration, MonotonicTime};
use millford_forward::load::OwnedLoads;
use millford_forward::load::owned_loads::{MAX_PAIRS, WORK_EXPIRY};
use millford_forward::owners::{OwnerReply, OwnerRing, PendingRequests, RoundTrip};
use quickcheck::quickcheck;

fn update(sequence: u64, work: &[(&str, u64)]) -> InFlightUpdate {
    let backends = work.iter().map(|(backend, tokens)| BackendInFlight {
        backend_id: (*backend).to_owned(),
        replicas: match tokens {
            0 => Vec::new(),
            _ => vec![ReplicaInFlight {
                model: "m".to_owned(),
                prefill_tokens: *tokens,
                decode_streams: 1,
                ..ReplicaInFlight::default()
            }],
        },
    });
    InFlightUpdate {
        sequence,
        backends: backends.collect(),
    }
}

fn tokens(owned: &OwnedLoads, now: MonotonicTime, backend: &str, except: &str) -> u64 {
    let work = owned.others(now, backend, except);
    let replicas = work.replicas.iter();
    replicas.map(|replica| replica.prefill_tokens).sum()
}

#[test]
fn the_newest_counts_of_each_node_win() {
    let mut owned = OwnedLoads::default();
    let now = MonotonicTime::from_millis(1000);
    owned.apply(now, "node-1", 1, &update(5, &[("a", 10), ("b", 20)]));
    owned.apply(now, "node-2", 7, &update(1, &[("a", 3)]));
    owned.apply(now, "node-1", 1, &update(4, &[("a", 99)]));
    owned.apply(now, "node-1", 1, &update(5, &[("a", 99)]));
    assert_eq!(
        tokens(&owned, now, "a", ""),
        13,
        "older and repeated updates are ignored"
    );
    assert_eq!(
        tokens(&owned, now, "a", "node-1"),
        3,
        "the requesting node is left out"
    );
    owned.apply(now, "node-1", 1, &update(6, &[("b", 5)]));
    assert_eq!(
        tokens(&owned, now, "a", ""),
        13,
        "an update does not affect backends that it does not list"
    );
    assert_eq!(tokens(&owned, now, "b", ""), 5);
    owned.apply(now, "node-1", 1, &update(7, &[("a", 0)]));
    assert_eq!(tokens(&owned, now, "a", ""), 3, "node-1 is idle");
    owned.apply(now, "node-1", 1, &update(6, &[("a", 50)]));
    assert_eq!(
        tokens(&owned, now, "a", ""),
        3,
        "an update that arrives after a newer one is ignored"
    );
    owned.apply(now, "node-1", 2, &update(1, &[("a", 1)]));
    assert_eq!(tokens(&owned, now, "a", ""), 4, "node-1 was restarted");
}

#[test]
fn sums_are_separate_by_model() {
    let mut owned = OwnedLoads::default();
    let now = MonotonicTime::from_millis(1000);
    let of = |model: &str, prefill_tokens| ReplicaInFlight {
        model: model.to_owned(),
        prefill_tokens,
        ..ReplicaInFlight::default()
    };
    for (member, replicas) in [
        ("node-1", vec![of("m", 1), of("n", 10)]),
        ("node-2", vec![of("n", 20)]),
    ] {
        let backends = vec![BackendInFlight {
            backend_id: "a".to_owned(),
            replicas,
        }];
        let update = InFlightUpdate {
            sequence: 1,
            backends,
        };
        owned.apply(now, member, 1, &update);
    }
    let work = owned.others(now, "a", "").replicas;
    let sums: Vec<(&str, u64)> = work
        .iter()
        .map(|replica| (replica.model.as_str(), replica.prefill_tokens))
        .collect();
    assert_eq!(sums, [("m", 1), ("n", 30)]);
}

#[test]
fn extreme_counts_saturate() {
    let mut owned = OwnedLoads::default();
    let now = MonotonicTime::from_millis(1000);
    owned.apply(now, "node-1", 1, &update(1, &[("a", u64::MAX)]));
    owned.apply(now, "node-2", 1, &update(1, &[("a", u64::MAX)]));
    assert_eq!(tokens(&owned, now, "a", ""), u64::MAX);
}

#[test]
fn counts_of_an_unresponsive_node_expire() {
    let mut owned = OwnedLoads::default();
    owned.apply(
        MonotonicTime::from_millis(0),
        "node-1",
        1,
        &update(1, &[("a", 10)]),
    );
    assert_eq!(
        tokens(&owned, MonotonicTime::from_millis(2900), "a", ""),
        10
    );
    assert_eq!(tokens(&owned, MonotonicTime::from_millis(3100), "a", ""), 0);
    owned.expire(MonotonicTime::from_millis(3100));
    assert_eq!(tokens(&owned, MonotonicTime::from_millis(1), "a", ""), 0);
}

quickcheck! {
    /// Outdated and repeated updates in any order do not replace the newest one.
    fn any_order_of_updates_converges_to_the_newest(order: Vec<u8>) -> bool {
        let mut owned = OwnedLoads::default();
        let now = MonotonicTime::from_millis(1);
        let newest = 1000;
        owned.apply(now, "node-1", 1, &update(newest, &[("a", newest)]));
        for sequence in order {
            let sequence = u64::from(sequence) + 1;
            owned.apply(now, "node-1", 1, &update(sequence, &[("a", sequence)]));
        }
        tokens(&owned, now, "a", "") == newest
    }
}

fn member(number: usize) -> ProxyMember {
    ProxyMember {
        name: format!("node-{number}"),
        exchange_address: format!("127.0.0.1:{}", 10_000 + number),
        zone: format!("zone-{}", number % 3),
    }
}

fn owners(ring: &OwnerRing, key: &str) -> Vec<String> {
    let owners = ring.owners_of_backend(key).into_iter();
    owners.map(|owner| owner.name.clone()).collect()
}

#[test]
fn owners_are_balanced_and_in_two_zones() {
    let members: Vec<ProxyMember> = (0..30).map(member).collect();
    let ring = OwnerRing::of(&members);
    let mut owned: BTreeMap<String, u32> = BTreeMap::new();
    for key in 0..3000 {
        let key = format!("backend-{key}");
        let found = ring.owners_of_backend(&key);
        assert_eq!(found.len(), 2);
        assert_ne!(found[0].zone, found[1].zone);
        for owner in found {
            *owned.entry(owner.name.clone()).or_default() += 1;
        }
    }
    assert_eq!(owned.len(), 30, "each node owns some keys");
    let (least, most) = (owned.values().min(), owned.values().max());
    assert!(least >= Some(&140) && most <= Some(&260), "{owned:?}");
}

#[test]
fn a_removed_node_moves_only_the_keys_it_owned() {
    let members: Vec<ProxyMember> = (0..30).map(member).collect();
    let before = OwnerRing::of(&members);
    let after = OwnerRing::of(&members[1..]);
    for key in 0..500 {
        let key = format!("backend-{key}");
        let (was, is) = (owners(&before, &key), owners(&after, &key));
        if was.contains(&"node-0".to_owned()) {
            assert!(!is.contains(&"node-0".to_owned()), "{is:?}");
        } else {
            assert_eq!(was, is);
        }
    }
}

#[test]
fn small_fleets_have_fewer_owners() {
    let ring = OwnerRing::of(&[]);
    assert_eq!(owners(&ring, "a"), Vec::<String>::new());
    let ring = OwnerRing::of(&[member(1)]);
    assert_eq!(owners(&ring, "a"), ["node-1"]);
    let ring = OwnerRing::of(&[member(1), member(4)]);
    assert_eq!(owners(&ring, "a").len(), 2, "both nodes are in one zone");
}

#[test]
fn an_owner_that_times_out_twice_is_suspected_for_a_while() {
    let mut pending = PendingRequests::default();
    let at = MonotonicTime::from_millis;
    let (first, _reply) = pending.begin(at(0), "node-1");
    pending.time_out(at(20), first);
    assert!(
        !pending.is_suspect(at(20), "node-1"),
        "a single timeout may be due to a lost datagram"
    );
    let (second, _reply) = pending.begin(at(30), "node-1");
    pending.time_out(at(50), second);
    assert!(pending.is_suspect(at(50), "node-1"));
    assert!(!pending.is_suspect(at(50), "node-2"));
    assert!(
        !pending.is_suspect(at(1100), "node-1"),
        "the suspicion has expired"
    );
    let (third, reply) = pending.begin(at(1100), "node-1");
    assert!(pending.complete(at(1102), third, OwnerReply::Counts));
    assert_eq!(reply.blocking_recv(), Ok(OwnerReply::Counts));
    let (fourth, _reply) = pending.begin(at(1200), "node-1");
    pending.time_out(at(1220), fourth);
    assert!(
        !pending.is_suspect(at(1220), "node-1"),
        "the reply reset the count of timeouts"
    );
    assert!(
        !pending.complete(at(1300), fourth, OwnerReply::Counts),
        "the reply is too late"
    );
}

#[test]
fn abandoned_requests_expire() {
    let mut pending = PendingRequests::default();
    let (id, _reply) = pending.begin(MonotonicTime::from_millis(0), "node-1");
    pending.expire(MonotonicTime::from_millis(5000));
    assert!(!pending.complete(MonotonicTime::from_millis(5001), id, OwnerReply::Counts));
}

#[test]
fn the_request_timeout_follows_the_round_trips() {
    let mut round_trip = RoundTrip::default();
    let initial = round_trip.timeout();
    for _ in 0..50 {
        round_trip.add_sample(Duration::from_millis(16));
    }
    let steady = round_trip.timeout();
    assert!(
        steady < initial && steady >= Duration::from_millis(16),
        "{steady:?}"
    );
    for millis in [8, 24].into_iter().cycle().take(50) {
        round_trip.add_sample(Duration::from_millis(millis));
    }
    assert!(
        round_trip.timeout() > steady,
        "the round trips vary more than before"
    );
    for _ in 0..50 {
        round_trip.add_sample(Duration::from_secs(3));
    }
    assert_eq!(
        round_trip.timeout(),
        Duration::from_millis(40),
        "the timeout is limited"
    );
}

#[test]
fn pairs_over_the_limit_are_not_kept_until_others_expire() {
    let mut loads = OwnedLoads::default();
    let now = MonotonicTime::from_millis(1_000);
    let update = |count: usize, first: usize| InFlightUpdate {
        sequence: 1,
        backends: (first..first + count)
            .map(|number| BackendInFlight {
                backend_id: format!("backend-{number}"),
                replicas: vec![ReplicaInFlight {
                    decode_streams: 1,
                    ..ReplicaInFlight::default()
                }],
            })
            .collect(),
    };
    let is_kept = |loads: &OwnedLoads, at, number: usize| {
        let others = loads.others(at, &format!("backend-{number}"), "self");
        !others.replicas.is_empty()
    };
    loads.apply(now, "peer", 1, &update(MAX_PAIRS + 1, 0));
    assert!(is_kept(&loads, now, MAX_PAIRS - 1));
    assert!(!is_kept(&loads, now, MAX_PAIRS));
    let later = now + WORK_EXPIRY;
    loads.expire(later);
    loads.apply(later, "peer", 1, &update(1, MAX_PAIRS));
    assert!(is_kept(&loads, later, MAX_PAIRS));
}
