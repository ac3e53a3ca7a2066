//! Properties of the choice of a backend.

use millford_routing::choice::{Candidate, choose, load_bound};
use millford_routing::rendezvous;
use quickcheck::quickcheck;

fn candidates(loads: &[u8]) -> Vec<Candidate> {
    let candidate = |(index, load): (usize, &u8)| Candidate {
        backend_id: format!("backend-{index}"),
        weight_milli: 1000,
        load: f64::from(*load),
    };
    loads.iter().enumerate().map(candidate).collect()
}

fn home(candidates: &[Candidate], key: u64) -> usize {
    let score = |index: &usize| {
        let candidate = &candidates[*index];
        rendezvous::score(key, &candidate.backend_id, candidate.weight_milli)
    };
    let order = 0..candidates.len();
    let best = order.max_by(|left, right| score(left).total_cmp(&score(right)));
    best.expect("there are candidates")
}

quickcheck! {
    /// Something is chosen whenever there is something to choose.
    fn a_choice_exists(loads: Vec<u8>, key: Option<u64>, first: u64, second: u64) -> bool {
        let list = candidates(&loads);
        let choice = choose(&list, key, 1.0, [first, second]);
        choice.is_some() != list.is_empty()
            && choice.is_none_or(|choice| choice.index < list.len())
    }

    /// An idle fleet sends a key always to its home, whatever the random numbers.
    fn affinity_is_stable(count: u8, key: u64, first: u64, second: u64) -> bool {
        let list = candidates(&vec![0; usize::from(count % 20) + 1]);
        let choice = choose(&list, Some(key), 1.0, [first, second]).expect("a choice");
        choice.by_affinity && choice.index == home(&list, key)
    }

    /// Losing a backend moves only the keys that had their home there.
    fn a_lost_backend_moves_only_its_own_keys(count: u8, lost: u8, key: u64) -> bool {
        let list = candidates(&vec![0; usize::from(count % 20) + 2]);
        let lost = usize::from(lost) % list.len();
        let before = home(&list, key);
        let mut left = list.clone();
        left.remove(lost);
        let after = &left[home(&left, key)];
        before == lost || after.backend_id == list[before].backend_id
    }

    /// A choice by affinity stays within the load bound.
    fn affinity_keeps_the_load_bound(loads: Vec<u8>, key: u64, own: u8) -> bool {
        let list = candidates(&loads);
        let own = f64::from(own);
        match choose(&list, Some(key), own, [3, 5]) {
            Some(choice) if choice.by_affinity => {
                list[choice.index].load <= load_bound(&list, own)
            }
            _ => true,
        }
    }

    /// The better of two is never the worst of three or more different loads.
    fn the_worst_of_many_is_not_chosen(count: u8, first: u64, second: u64) -> bool {
        let loads: Vec<u8> = (0..=(count % 30) + 2).collect();
        let list = candidates(&loads);
        let choice = choose(&list, None, 1.0, [first, second]).expect("a choice");
        choice.index != list.len() - 1
    }
}

#[test]
fn weights_share_out_the_keys() {
    let mut list = candidates(&[0, 0]);
    list[0].weight_milli = 3000;
    let keys = 20_000u64;
    let at_first =
        (0..keys).filter(|key| home(&list, key.wrapping_mul(0x9E37_79B9_7F4A_7C15)) == 0);
    let share = at_first.count() as f64 / keys as f64;
    assert!((share - 0.75).abs() < 0.02, "share {share}");
}

#[test]
fn weights_share_out_the_draws() {
    let mut list = candidates(&[0, 0, 0]);
    list[2].weight_milli = 0;
    let mut chosen = [0u32; 3];
    for round in 0..3_000u64 {
        let random = [round.wrapping_mul(0x9E37_79B9_7F4A_7C15), round];
        let choice = choose(&list, None, 1.0, random).expect("a choice");
        chosen[choice.index] += 1;
    }
    // A weight of nothing is drawn as one thousandth at most.
    assert!(chosen[2] < 30, "{chosen:?}");
}
