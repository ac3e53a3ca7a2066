//! Simulation of the quota leases: no window exceeds the quota, and no request within it is
//! refused.

use crate::fixtures::exact_bucket::{fits_bucket, served_by_exact_bucket};
use crate::fixtures::quota_world::QuotaWorld;
use millford_api::config::Quota;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};

const SECOND: u64 = 1_000_000;
/// Time during which requests arrive, in microseconds.
const RUN: u64 = 8 * SECOND;

/// A random quota, fleet and set of faults, with the seed of the simulation.
#[derive(Clone, Debug)]
struct TestCase {
    seed: u64,
    rate: u32,
    burst: u32,
    nodes: usize,
    elections: u64,
    crashes: u64,
    loss_percent: u64,
}

impl Arbitrary for TestCase {
    fn arbitrary(generator: &mut Gen) -> Self {
        let mut below = |limit: u64| u64::arbitrary(generator) % limit;
        TestCase {
            seed: below(u64::MAX),
            rate: u32::try_from(below(60) + 1).expect("small"),
            burst: u32::try_from(below(40) + 1).expect("small"),
            nodes: usize::try_from(below(5) + 1).expect("small"),
            elections: below(4),
            crashes: below(3),
            loss_percent: below(10),
        }
    }
}

impl TestCase {
    fn quota(&self) -> Quota {
        Quota {
            requests_per_second: self.rate,
            burst: self.burst,
            concurrent_streams: 0,
        }
    }

    fn world(&self) -> QuotaWorld {
        QuotaWorld::new(self.seed, self.quota(), self.nodes)
    }

    /// Schedules elections and crashes at random times, and sets the loss of messages.
    fn add_faults(&self, world: &mut QuotaWorld) {
        let start = world.start();
        world.loss_percent = self.loss_percent;
        // Elections are at least a second apart, so that a leader steps down before the next
        // election.
        for election in 0..self.elections {
            let at = start + (election * 2 + 1) * SECOND + world.random(SECOND);
            world.elect(at);
        }
        for _ in 0..self.crashes {
            let at = start + world.random(RUN);
            let node = world.random(self.nodes as u64);
            world.crash(at, usize::try_from(node).expect("small"));
        }
    }

    /// Schedules arrivals at three times the rate, at random times and nodes.
    fn add_heavy_demand(&self, world: &mut QuotaWorld) {
        let start = world.start();
        let arrivals = u64::from(self.rate) * 3 * RUN / SECOND + u64::from(self.burst);
        for _ in 0..arrivals {
            let at = start + world.random(RUN);
            let node = world.random(self.nodes as u64);
            world.arrival(at, usize::try_from(node).expect("small"));
        }
    }

    /// Schedules arrivals that an exact bucket allows, with a slack for the network's delays.
    /// Returns their number; 0 when the burst is too small for the slack.
    fn add_demand_under_quota(&self, world: &mut QuotaWorld, slack_micros: u64) -> u64 {
        let slack = 1 + u64::from(self.rate) * slack_micros / SECOND;
        let Some(burst) = u64::from(self.burst).checked_sub(slack) else {
            return 0;
        };
        let mut level = burst * SECOND;
        let mut now = world.start();
        let end = now + RUN;
        let mut arrivals = 0;
        while now < end {
            let delay = match world.random(4) {
                0 => 0,
                1 => world.random(2 * SECOND / u64::from(self.rate)),
                _ => SECOND / u64::from(self.rate),
            };
            now += delay;
            level = (level + delay * u64::from(self.rate)).min(burst * SECOND);
            if level >= SECOND {
                level -= SECOND;
                let node = world.random(self.nodes as u64);
                world.arrival(now, usize::try_from(node).expect("small"));
                arrivals += 1;
            } else {
                now += 1_000;
                level += 1_000 * u64::from(self.rate);
            }
        }
        arrivals
    }
}

/// Returns the result of a test. A failure contains the case and the counts of the run.
fn test_result(passed: bool, case: &TestCase, world: &QuotaWorld) -> TestResult {
    if passed {
        return TestResult::passed();
    }
    let tally = &world.tally;
    TestResult::error(format!(
        "{case:?}: arrived {}, spent {}, refused {}, waiting {}, lost in crashes {}",
        tally.arrivals.len(),
        tally.spent.len(),
        tally.refused,
        tally.left_waiting,
        tally.lost_in_crashes
    ))
}

/// A random case whose rate is high enough that surplus tokens are granted to a busy node.
#[derive(Clone, Debug)]
struct SurplusCase {
    case: TestCase,
    /// Time between the end of the demand at node 0 and the burst at node 1, in microseconds.
    delay: u64,
    elect_in_delay: bool,
    crash_in_delay: bool,
}

impl Arbitrary for SurplusCase {
    fn arbitrary(generator: &mut Gen) -> Self {
        let mut case = TestCase::arbitrary(generator);
        case.rate = 20 + case.rate * 4;
        case.burst = 10 + case.burst * 2;
        case.nodes = 2;
        SurplusCase {
            case,
            delay: if bool::arbitrary(generator) {
                2_000 + u64::arbitrary(generator) % 50_000
            } else {
                2_000 + u64::arbitrary(generator) % 1_300_000
            },
            elect_in_delay: bool::arbitrary(generator),
            crash_in_delay: bool::arbitrary(generator),
        }
    }
}

impl SurplusCase {
    /// Schedules arrivals at node 0 at half the rate for three seconds; returns the end of that
    /// time.
    fn add_busy_period(&self, world: &mut QuotaWorld) -> u64 {
        let between = 2 * SECOND / u64::from(self.case.rate);
        let mut at = world.start();
        let end = at + 3 * SECOND;
        while at < end {
            world.arrival(at, 0);
            at += between;
        }
        end
    }
}

/// The bucket refills slowly, so the surplus tokens lost with a crashed node are missing for
/// several seconds.
#[test]
fn tokens_lost_with_a_crashed_node_delay_other_requests_but_cause_no_refusal() {
    let quota = Quota {
        requests_per_second: 1,
        burst: 100,
        concurrent_streams: 0,
    };
    let mut world = QuotaWorld::new(1, quota, 2);
    let start = world.start();
    for _ in 0..40 {
        world.arrival(start, 0);
    }
    world.arrival(start + SECOND + SECOND / 10, 0);
    world.crash(start + SECOND + SECOND / 5, 0);
    for _ in 0..58 {
        world.arrival(start + 3 * SECOND, 1);
    }
    world.run_until(start + 3 * SECOND + SECOND / 10);
    assert!(
        world.tally.left_waiting > 0,
        "the crashed node had surplus tokens"
    );
    world.run_until(start + 20 * SECOND);
    assert_eq!((world.tally.refused, world.tally.left_waiting), (0, 0));
    assert!(fits_bucket(&quota, &world.tally.spent));
}

quickcheck! {
    /// Surplus tokens that are idle at a node are recalled before a burst at another node, which is
    /// within the quota, would be refused. Surplus tokens of a crashed node only delay the burst.
    fn surplus_tokens_are_recalled_before_a_refusal(surplus_case: SurplusCase) -> TestResult {
        let case = &surplus_case.case;
        let mut world = case.world();
        let end = surplus_case.add_busy_period(&mut world);
        let slack = 2 + case.rate / 50;
        if surplus_case.crash_in_delay {
            world.crash(end + surplus_case.delay / 2, 0);
        }
        for _ in slack..case.burst {
            world.arrival(end + surplus_case.delay, 1);
        }
        // Node 0 renews its slots before the burst, and again while the recall is in flight.
        for after in [0, 4_000 + case.seed % 4_000] {
            world.renew(end + surplus_case.delay - 2_000 + after, 0);
        }
        world.run_until(end + 30 * SECOND);
        let tally = &world.tally;
        let served = tally.spent.len() as u64 + tally.lost_in_crashes;
        let passed = tally.refused == 0 && served == tally.arrivals.len() as u64;
        test_result(passed, case, &world)
    }

    /// Surplus tokens that are spent late, also those of a former leader, stay within the quota.
    fn surplus_tokens_stay_within_the_quota(surplus_case: SurplusCase) -> TestResult {
        let case = &surplus_case.case;
        let mut world = case.world();
        let end = surplus_case.add_busy_period(&mut world);
        if surplus_case.elect_in_delay {
            world.elect(end);
        }
        // Until long after the election both nodes have more demand than the quota allows.
        let burst_start = end + surplus_case.delay;
        for step in 0..20 {
            for node in [0, 1] {
                for _ in 0..case.burst {
                    world.arrival(burst_start + step * 100_000, node);
                }
            }
        }
        world.run_until(burst_start + 4 * SECOND);
        test_result(fits_bucket(&case.quota(), &world.tally.spent), case, &world)
    }

    /// At most burst + rate * window tokens are spent in any window, also when messages are lost,
    /// nodes crash and leaders change.
    fn no_window_exceeds_the_quota(case: TestCase) -> TestResult {
        let mut world = case.world();
        case.add_heavy_demand(&mut world);
        case.add_faults(&mut world);
        world.run_until(world.start() + RUN + 3 * SECOND);
        let fits = fits_bucket(&case.quota(), &world.tally.spent);
        test_result(fits, &case, &world)
    }

    /// Demand within the quota is never refused, also when messages are lost, nodes crash and
    /// leaders change. All of it is served, except the requests that were waiting at a crashed
    /// node.
    fn demand_under_the_quota_is_never_refused(case: TestCase) -> TestResult {
        let mut world = case.world();
        let arrivals = case.add_demand_under_quota(&mut world, 200_000);
        if arrivals == 0 {
            return TestResult::discard();
        }
        case.add_faults(&mut world);
        world.run_until(world.start() + RUN + 60 * SECOND);
        let tally = &world.tally;
        let served = tally.spent.len() as u64 + tally.lost_in_crashes;
        let passed = tally.refused == 0 && tally.left_waiting == 0 && served == tally.arrivals.len() as u64;
        test_result(passed, &case, &world)
    }

    /// Under heavy demand and without faults, at least 95% of what one exact bucket would serve,
    /// less two requests, is served.
    fn heavy_demand_gets_the_complete_quota(case: TestCase) -> TestResult {
        let mut world = case.world();
        case.add_heavy_demand(&mut world);
        world.run_until(world.start() + RUN);
        let spent = world.tally.spent.len() as u64;
        let exact = served_by_exact_bucket(&case.quota(), &world.tally.arrivals);
        test_result(spent + 2 >= exact * 95 / 100, &case, &world)
    }
}
