//! Properties of the choice of a backend.

use millford_routing::choice::{Affinity, Candidate, HOME_LOAD_TOLERANCE, choose};
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

fn affinity(key: u64, saving: f64) -> Affinity {
    Affinity {
        key,
        saving,
        gain: 0.0,
    }
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
    /// A candidate is chosen unless the list is empty.
    fn a_candidate_is_chosen_unless_there_is_none(loads: Vec<u8>, key: Option<u64>, first: u64, second: u64) -> bool {
        let list = candidates(&loads);
        let choice = choose(&list, key.map(|key| affinity(key, 1.0)), [first, second]);
        choice.is_some() != list.is_empty()
            && choice.is_none_or(|choice| choice.index < list.len())
    }

    /// In an idle fleet a key always goes to its home, independent of the random numbers.
    fn an_idle_fleet_sends_a_key_to_its_home(count: u8, key: u64, first: u64, second: u64) -> bool {
        let list = candidates(&vec![0; usize::from(count % 20) + 1]);
        let choice = choose(&list, Some(affinity(key, 1.0)), [first, second]).expect("a choice");
        choice.by_affinity && choice.index == home(&list, key)
    }

    /// The loss of a backend moves only the keys whose home it was.
    fn a_lost_backend_moves_only_its_own_keys(count: u8, lost: u8, key: u64) -> bool {
        let list = candidates(&vec![0; usize::from(count % 20) + 2]);
        let lost = usize::from(lost) % list.len();
        let before = home(&list, key);
        let mut left = list.clone();
        left.remove(lost);
        let after = &left[home(&left, key)];
        before == lost || after.backend_id == list[before].backend_id
    }

    /// Without a gain, a home is chosen only if its load exceeds the alternative's by at most the saving.
    fn load_of_a_home_is_bounded_by_the_saving(loads: Vec<u8>, key: u64, saving: u8) -> bool {
        let list = candidates(&loads);
        let saving = f64::from(saving);
        let alternative = choose(&list, None, [3, 5]);
        let chosen = choose(&list, Some(affinity(key, saving)), [3, 5]);
        match (chosen, alternative) {
            (Some(choice), Some(alternative)) if choice.by_affinity => {
                list[choice.index].load <= list[alternative.index].load + saving
            }
            (Some(choice), Some(alternative)) => choice.index == alternative.index,
            _ => list.is_empty(),
        }
    }

    /// With a gain, the load of a chosen home exceeds the alternative's by at most the saving and the
    /// tolerance.
    fn load_of_a_home_is_bounded_by_saving_and_tolerance(loads: Vec<u8>, key: u64, saving: u8, gain: u8) -> bool {
        let list = candidates(&loads);
        let gain = f64::from(gain % 101) / 100.0;
        let affinity = Some(Affinity { key, saving: f64::from(saving), gain });
        let mean = list.iter().map(|candidate| candidate.load).sum::<f64>() / list.len().max(1) as f64;
        match (choose(&list, affinity, [3, 5]), choose(&list, None, [3, 5])) {
            (Some(choice), Some(alternative)) if choice.by_affinity => {
                let slack = f64::from(saving) + gain * HOME_LOAD_TOLERANCE * mean;
                list[choice.index].load <= list[alternative.index].load + slack + 1e-9
            }
            _ => true,
        }
    }

    /// A home is always chosen if its saving is at least the largest possible load.
    fn a_home_whose_saving_exceeds_its_load_is_chosen(loads: Vec<u8>, key: u64) -> bool {
        let list = candidates(&loads);
        let enough = f64::from(u8::MAX);
        choose(&list, Some(affinity(key, enough)), [3, 5])
            .is_none_or(|choice| choice.by_affinity && choice.index == home(&list, key))
    }

    /// The less loaded of two candidates is never the most loaded of three or more different ones.
    fn the_most_loaded_of_many_is_not_chosen(count: u8, first: u64, second: u64) -> bool {
        let loads: Vec<u8> = (0..=(count % 30) + 2).collect();
        let list = candidates(&loads);
        let choice = choose(&list, None, [first, second]).expect("a choice");
        choice.index != list.len() - 1
    }
}

#[test]
fn keys_are_divided_by_weight() {
    let mut list = candidates(&[0, 0]);
    list[0].weight_milli = 3000;
    let keys = 20_000u64;
    let at_first =
        (0..keys).filter(|key| home(&list, key.wrapping_mul(0x9E37_79B9_7F4A_7C15)) == 0);
    let share = at_first.count() as f64 / keys as f64;
    assert!((share - 0.75).abs() < 0.02, "share {share}");
}

#[test]
fn draws_are_divided_by_weight() {
    let mut list = candidates(&[0, 0, 0]);
    list[2].weight_milli = 0;
    let mut chosen = [0u32; 3];
    for round in 0..3_000u64 {
        let random = [round.wrapping_mul(0x9E37_79B9_7F4A_7C15), round];
        let choice = choose(&list, None, random).expect("a choice");
        chosen[choice.index] += 1;
    }
    // A weight of 0 is treated as one thousandth.
    assert!(chosen[2] < 30, "{chosen:?}");
}
