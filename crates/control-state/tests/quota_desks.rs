//! The whole quota path: the agents' desks and the leaders' ledgers together.

#[path = "support/desk_world.rs"]
mod desk_world;
#[allow(dead_code)]
#[path = "support/exact_bucket.rs"]
mod exact_bucket;
#[path = "support/random.rs"]
mod random;

use desk_world::DeskWorld;
use exact_bucket::fits_bucket;
use millford_api::config::Quota;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};

/// Time in which calls arrive, in milliseconds.
const RUN_MS: u64 = 6_000;
/// Between lending and admission pass a few milliseconds on the way; with them a window may hold
/// what the rate gives in that time more.
const ON_THE_WAY_MS: u32 = 20;

/// A random quota, fleet and faults.
#[derive(Clone, Debug)]
struct Setting {
    seed: u64,
    quota: Quota,
    desks: usize,
    elections: Vec<u64>,
    loss_percent: u64,
}

impl Arbitrary for Setting {
    fn arbitrary(generator: &mut Gen) -> Self {
        let mut below = |limit: u64| u64::arbitrary(generator) % limit;
        let mut small = |low: u64, limit: u64| u32::try_from(low + below(limit)).expect("small");
        let quota = Quota {
            requests_per_second: small(1, 60),
            burst: small(1, 60),
            concurrent_streams: small(1, 20),
        };
        Setting {
            seed: u64::arbitrary(generator),
            quota,
            desks: usize::from(u8::arbitrary(generator) % 4 + 1),
            elections: match u8::arbitrary(generator) % 3 {
                0 => Vec::new(),
                1 => vec![1_500],
                _ => vec![1_000, 3_500],
            },
            loss_percent: u64::from(u8::arbitrary(generator) % 3),
        }
    }
}

impl Setting {
    /// Runs the world; `calls_at` tells how many calls arrive in a millisecond.
    fn run(
        &self,
        streams: bool,
        mut calls_at: impl FnMut(&mut DeskWorld, u64) -> u64,
    ) -> DeskWorld {
        let mut world = DeskWorld::new(self.seed, self.quota, self.desks);
        world.loss_percent = self.loss_percent;
        for now in 0..RUN_MS + 40_000 {
            if self.elections.contains(&now) {
                world.elect();
            }
            let calls = if now < RUN_MS {
                calls_at(&mut world, now)
            } else {
                0
            };
            for _ in 0..calls {
                let desk = world.random(self.desks as u64);
                let stream = streams && world.random(2) == 0;
                world.call(usize::try_from(desk).expect("small"), stream);
            }
            world.step();
        }
        world
    }

    /// Three times the rate, and now and then a burst.
    fn run_heavy(&self, streams: bool) -> DeskWorld {
        let rate = u64::from(self.quota.requests_per_second);
        let burst = u64::from(self.quota.burst);
        self.run(streams, |world, _| {
            let steady = u64::from(world.random(1000) < 3 * rate);
            let sudden = u64::from(world.random(500) == 0) * burst;
            steady + sudden
        })
    }
}

fn judge(held: bool, setting: &Setting, world: &DeskWorld) -> TestResult {
    if held {
        return TestResult::passed();
    }
    let outcome = &world.outcome;
    TestResult::error(format!(
        "{setting:?}: arrived {}, admitted {}, refused {}, timed out {}, most streams {}",
        outcome.arrived,
        outcome.admitted.len(),
        outcome.refused,
        outcome.timed_out,
        outcome.most_streams
    ))
}

quickcheck! {
    fn what_is_admitted_stays_within_the_quota(setting: Setting) -> TestResult {
        let mut setting = setting;
        // A lost answer is sent again up to a second later, and counts when lent.
        setting.loss_percent = 0;
        let world = setting.run_heavy(false);
        let mut allowed = setting.quota;
        allowed.burst += 1 + allowed.requests_per_second * ON_THE_WAY_MS / 1000;
        judge(fits_bucket(&allowed, &world.outcome.admitted), &setting, &world)
    }

    fn streams_stay_within_their_limit(setting: Setting) -> TestResult {
        let world = setting.run_heavy(true);
        let held = world.outcome.most_streams <= setting.quota.concurrent_streams;
        judge(held, &setting, &world)
    }

    fn calls_under_the_quota_are_admitted(setting: Setting) -> TestResult {
        // What arrives while answers are lost and sent again bunches up at the leader.
        let slack = 1 + setting.quota.requests_per_second;
        let Some(burst) = setting.quota.burst.checked_sub(slack) else {
            return TestResult::discard();
        };
        let rate = u64::from(setting.quota.requests_per_second);
        let full = u64::from(burst) * 1000;
        let mut level = full;
        let world = setting.run(false, |world, _| {
            level = (level + rate).min(full);
            let wanted = match world.random(400) {
                0 => u64::from(burst),
                other => u64::from(other < 100),
            };
            let calls = wanted.min(level / 1000);
            level -= calls * 1000;
            calls
        });
        let outcome = &world.outcome;
        let held = outcome.refused == 0 && outcome.admitted.len() as u64 == outcome.arrived;
        judge(held, &setting, &world)
    }
}

/// A call takes a slot of the former leader's lease while the node's first ask of the new leader is
/// under way; the answer tells it to ask again only once slots may be lent, and until then the new
/// leader has to learn of that stream.
#[test]
fn a_slot_taken_while_the_new_leader_is_asked_is_reported() {
    let setting = Setting {
        seed: 10_700_725_685_278_463_493,
        quota: Quota {
            requests_per_second: 28,
            burst: 14,
            concurrent_streams: 2,
        },
        desks: 4,
        elections: vec![1_000, 3_500],
        loss_percent: 2,
    };
    let world = setting.run_heavy(true);
    assert!(world.outcome.most_streams <= setting.quota.concurrent_streams);
}
