//! The quota holds over every window, and nobody under it is refused, in simulated time.

use crate::fixtures::exact_bucket::{fits_bucket, served_by_exact_bucket};
use crate::fixtures::quota_world::QuotaWorld;
use millford_api::config::Quota;
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};

const SECOND: u64 = 1_000_000;
/// Time in which arrivals come.
const RUN: u64 = 8 * SECOND;

/// A random quota, fleet and seed.
#[derive(Clone, Debug)]
struct Setting {
    seed: u64,
    rate: u32,
    burst: u32,
    nodes: usize,
    elections: u64,
    crashes: u64,
    loss_percent: u64,
}

impl Arbitrary for Setting {
    fn arbitrary(generator: &mut Gen) -> Self {
        let mut below = |limit: u64| u64::arbitrary(generator) % limit;
        Setting {
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

impl Setting {
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

    /// Elections and crashes at random times.
    fn add_faults(&self, world: &mut QuotaWorld) {
        let start = world.start();
        world.loss_percent = self.loss_percent;
        // One election in each period, so that a leader stops before the next is elected.
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

    /// Arrivals at three times the rate, in bursts, at random nodes.
    fn add_heavy_demand(&self, world: &mut QuotaWorld) {
        let start = world.start();
        let arrivals = u64::from(self.rate) * 3 * RUN / SECOND + u64::from(self.burst);
        for _ in 0..arrivals {
            let at = start + world.random(RUN);
            let node = world.random(self.nodes as u64);
            world.arrival(at, usize::try_from(node).expect("small"));
        }
    }

    /// Arrivals that an exact bucket allows, with the slack that the network's delays need.
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

/// The result with what it takes to investigate a failure.
fn test_result(passed: bool, setting: &Setting, world: &QuotaWorld) -> TestResult {
    if passed {
        return TestResult::passed();
    }
    let tally = &world.tally;
    TestResult::error(format!(
        "{setting:?}: arrived {}, spent {}, refused {}, waiting {}, lost in crashes {}",
        tally.arrivals.len(),
        tally.spent.len(),
        tally.refused,
        tally.left_waiting,
        tally.lost_in_crashes
    ))
}

/// A quota and a pace at which surplus tokens are granted to the busy node.
#[derive(Clone, Debug)]
struct Busy {
    setting: Setting,
    /// Pause between the busy time of one node and the burst at another, in microseconds.
    delay: u64,
    elect_in_delay: bool,
    crash_in_delay: bool,
}

impl Arbitrary for Busy {
    fn arbitrary(generator: &mut Gen) -> Self {
        let mut setting = Setting::arbitrary(generator);
        setting.rate = 20 + setting.rate * 4;
        setting.burst = 10 + setting.burst * 2;
        setting.nodes = 2;
        Busy {
            setting,
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

impl Busy {
    /// Node 0 is busy at half the rate for three seconds; returns the end of that time.
    fn add_busy_time(&self, world: &mut QuotaWorld) -> u64 {
        let between = 2 * SECOND / u64::from(self.setting.rate);
        let mut at = world.start();
        let end = at + 3 * SECOND;
        while at < end {
            world.arrival(at, 0);
            at += between;
        }
        end
    }
}

/// A slow bucket: what a crashed node took with it is missing for several seconds.
#[test]
fn tokens_lost_with_a_crashed_node_delay_others_and_refuse_nobody() {
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
    /// Surplus tokens that lie at a node are recalled before another node's burst, which is under
    /// the quota, would be refused; those of a crashed node only make it wait.
    fn surplus_tokens_are_recalled_before_a_refusal(busy: Busy) -> TestResult {
        let setting = &busy.setting;
        let mut world = setting.world();
        let end = busy.add_busy_time(&mut world);
        let slack = 2 + setting.rate / 50;
        if busy.crash_in_delay {
            world.crash(end + busy.delay / 2, 0);
        }
        for _ in slack..setting.burst {
            world.arrival(end + busy.delay, 1);
        }
        // Node 0 renews its slots, before the burst and while the recall is on its way.
        for after in [0, 4_000 + setting.seed % 4_000] {
            world.renew(end + busy.delay - 2_000 + after, 0);
        }
        world.run_until(end + 30 * SECOND);
        let tally = &world.tally;
        let served = tally.spent.len() as u64 + tally.lost_in_crashes;
        let passed = tally.refused == 0 && served == tally.arrivals.len() as u64;
        test_result(passed, setting, &world)
    }

    /// Surplus tokens that are spent late, also those of a former leader, stay within the quota.
    fn surplus_tokens_stay_within_the_quota(busy: Busy) -> TestResult {
        let setting = &busy.setting;
        let mut world = setting.world();
        let end = busy.add_busy_time(&mut world);
        if busy.elect_in_delay {
            world.elect(end);
        }
        // Until long after the election both nodes want more than there is.
        let blast = end + busy.delay;
        for step in 0..20 {
            for node in [0, 1] {
                for _ in 0..setting.burst {
                    world.arrival(blast + step * 100_000, node);
                }
            }
        }
        world.run_until(blast + 4 * SECOND);
        test_result(fits_bucket(&setting.quota(), &world.tally.spent), setting, &world)
    }

    /// Granted and spent is at most burst + rate * window, whatever is lost or elected.
    fn no_window_exceeds_the_quota(setting: Setting) -> TestResult {
        let mut world = setting.world();
        setting.add_heavy_demand(&mut world);
        setting.add_faults(&mut world);
        world.run_until(world.start() + RUN + 3 * SECOND);
        let fits = fits_bucket(&setting.quota(), &world.tally.spent);
        test_result(fits, &setting, &world)
    }

    /// Demand under the quota is never refused, also when replies are lost, nodes crash and
    /// leaders change; without faults all of it is served.
    fn demand_under_the_quota_is_never_refused(setting: Setting) -> TestResult {
        let mut world = setting.world();
        let arrivals = setting.add_demand_under_quota(&mut world, 200_000);
        if arrivals == 0 {
            return TestResult::discard();
        }
        setting.add_faults(&mut world);
        world.run_until(world.start() + RUN + 60 * SECOND);
        let tally = &world.tally;
        let served = tally.spent.len() as u64 + tally.lost_in_crashes;
        let passed = tally.refused == 0 && tally.left_waiting == 0 && served == tally.arrivals.len() as u64;
        test_result(passed, &setting, &world)
    }

    /// Nothing is wasted: under heavy demand and without faults as much is served as by one bucket.
    fn heavy_demand_gets_the_complete_quota(setting: Setting) -> TestResult {
        let mut world = setting.world();
        setting.add_heavy_demand(&mut world);
        world.run_until(world.start() + RUN);
        let spent = world.tally.spent.len() as u64;
        let exact = served_by_exact_bucket(&setting.quota(), &world.tally.arrivals);
        test_result(spent + 2 >= exact * 95 / 100, &setting, &world)
    }
}
