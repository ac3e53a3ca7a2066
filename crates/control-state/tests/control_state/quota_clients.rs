//! Complete quota path: the agents' quota clients together with the leaders' leases.

use crate::fixtures::client_world::ClientWorld;
use crate::fixtures::exact_bucket::fits_bucket;
use millford_api::config::Quota;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};

/// Time during which requests arrive, in milliseconds.
const RUN_MS: u64 = 6_000;
/// Upper bound of the delay between granting and admission, in milliseconds. A window may contain
/// additional requests, as many as the rate yields in that time.
const MAX_GRANT_DELAY_MS: u32 = 20;

/// A random quota, fleet and faults.
#[derive(Clone, Debug)]
struct TestCase {
    seed: u64,
    quota: Quota,
    clients: usize,
    elections: Vec<u64>,
    loss_percent: u64,
}

impl Arbitrary for TestCase {
    fn arbitrary(generator: &mut Gen) -> Self {
        let mut below = |limit: u64| u64::arbitrary(generator) % limit;
        let mut small = |low: u64, limit: u64| u32::try_from(low + below(limit)).expect("small");
        let quota = Quota {
            requests_per_second: small(1, 60),
            burst: small(1, 60),
            concurrent_streams: small(1, 20),
        };
        TestCase {
            seed: u64::arbitrary(generator),
            quota,
            clients: usize::from(u8::arbitrary(generator) % 4 + 1),
            elections: match u8::arbitrary(generator) % 3 {
                0 => Vec::new(),
                1 => vec![1_500],
                _ => vec![1_000, 3_500],
            },
            loss_percent: u64::from(u8::arbitrary(generator) % 3),
        }
    }
}

impl TestCase {
    /// Runs the simulation; `requests_at` returns how many requests arrive in a millisecond.
    fn run(
        &self,
        streams: bool,
        mut requests_at: impl FnMut(&mut ClientWorld, u64) -> u64,
    ) -> ClientWorld {
        let mut world = ClientWorld::new(self.seed, self.quota, self.clients);
        world.loss_percent = self.loss_percent;
        for now in 0..RUN_MS + 40_000 {
            if self.elections.contains(&now) {
                world.elect();
            }
            let requests = if now < RUN_MS {
                requests_at(&mut world, now)
            } else {
                0
            };
            for _ in 0..requests {
                let client = world.random(self.clients as u64);
                let stream = streams && world.random(2) == 0;
                world.request(usize::try_from(client).expect("small"), stream);
            }
            world.step();
        }
        world
    }

    /// Runs the simulation with requests at three times the rate and occasional bursts.
    fn run_heavy(&self, streams: bool) -> ClientWorld {
        let rate = u64::from(self.quota.requests_per_second);
        let burst = u64::from(self.quota.burst);
        self.run(streams, |world, _| {
            let steady = u64::from(world.random(1000) < 3 * rate);
            let sudden = u64::from(world.random(500) == 0) * burst;
            steady + sudden
        })
    }
}

fn test_result(passed: bool, case: &TestCase, world: &ClientWorld) -> TestResult {
    if passed {
        return TestResult::passed();
    }
    let outcome = &world.outcome;
    TestResult::error(format!(
        "{case:?}: arrived {}, admitted {}, refused {}, timed out {}, most streams {}",
        outcome.arrived,
        outcome.admitted.len(),
        outcome.refused,
        outcome.timed_out,
        outcome.most_streams
    ))
}

quickcheck! {
    fn admitted_requests_stay_within_the_quota(case: TestCase) -> TestResult {
        let mut case = case;
        // A lost reply may be resent up to a second after its tokens were granted, which is more
        // than `MAX_GRANT_DELAY_MS` allows for.
        case.loss_percent = 0;
        let world = case.run_heavy(false);
        let mut allowed = case.quota;
        allowed.burst += 1 + allowed.requests_per_second * MAX_GRANT_DELAY_MS / 1000;
        test_result(fits_bucket(&allowed, &world.outcome.admitted), &case, &world)
    }

    fn streams_stay_within_their_limit(case: TestCase) -> TestResult {
        let world = case.run_heavy(true);
        let passed = world.outcome.most_streams <= case.quota.concurrent_streams;
        test_result(passed, &case, &world)
    }

    fn requests_under_the_quota_are_admitted(case: TestCase) -> TestResult {
        // Requests that arrive while replies are lost and resent reach the leader all at once.
        let slack = 1 + case.quota.requests_per_second;
        let Some(burst) = case.quota.burst.checked_sub(slack) else {
            return TestResult::discard();
        };
        let rate = u64::from(case.quota.requests_per_second);
        let full = u64::from(burst) * 1000;
        let mut level = full;
        let world = case.run(false, |world, _| {
            level = (level + rate).min(full);
            let desired = match world.random(400) {
                0 => u64::from(burst),
                other => u64::from(other < 100),
            };
            let requests = desired.min(level / 1000);
            level -= requests * 1000;
            requests
        });
        let outcome = &world.outcome;
        let passed = outcome.refused == 0 && outcome.admitted.len() as u64 == outcome.arrived;
        test_result(passed, &case, &world)
    }
}

/// Guards against streams above the limit after a change of leader. A stream takes a slot of the
/// former leader's lease while the node's first request to the new leader is in flight. The retry
/// delay in the reply ends when slots may be granted; the node must report the stream before that.
#[test]
fn a_slot_used_while_the_request_to_a_new_leader_is_in_flight_is_reported() {
    let case = TestCase {
        seed: 10_700_725_685_278_463_493,
        quota: Quota {
            requests_per_second: 28,
            burst: 14,
            concurrent_streams: 2,
        },
        clients: 4,
        elections: vec![1_000, 3_500],
        loss_percent: 2,
    };
    let world = case.run_heavy(true);
    assert!(world.outcome.most_streams <= case.quota.concurrent_streams);
}
