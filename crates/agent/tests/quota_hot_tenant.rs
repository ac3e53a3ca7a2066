//! A tenant presses far over its quota on many nodes: whoever is not served is refused soon, and
//! nobody waits its whole time away while others are served or refused.

#[path = "support/quota_post.rs"]
mod quota_post;

use millford_agent::quota::QuotaClient;
use millford_api::config::Quota;
use millford_api::local::{LocalQuotaReply, LocalQuotaRequest};
use millford_control_state::quota::{QuotaLeases, QuotaOptions};
use millford_core::{Duration, MonotonicTime, ResultCode, ShardId, ShardLayout};
use quota_post::{Parcel, Post, name_of};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 8;
const TENANT: &str = "hot";
const RATE: u32 = 20;
const BURST: u32 = 40;
/// Asked at once when a press begins.
const PRESS_BURST: u64 = 80;
/// Time between two calls of a press: five times the rate.
const PRESS_PERIOD_MS: u64 = 10;
const PRESS_MS: u64 = 4_000;
/// Time that a call gives its ask.
const TIMEOUT_MS: u32 = 3_000;
const LONGEST_DELAY_MS: u64 = 5;
/// Calling idle slices back takes two rounds, and nodes ask again once a token is due.
const LONGEST_DECISION: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
struct Decision {
    code: u32,
    at: MonotonicTime,
    waited: Duration,
}

struct Rig {
    now: MonotonicTime,
    random: SmallRng,
    ledger: QuotaLeases,
    desks: Vec<QuotaClient>,
    ids: Vec<u64>,
    post: Post,
    asked: Vec<MonotonicTime>,
    decisions: Vec<Decision>,
}

impl Rig {
    /// The leader took over at 10 s.
    fn new(seed: u64) -> Self {
        let now = MonotonicTime::from_millis(10_000);
        let mut ledger = QuotaLeases::new(ShardId(1), QuotaOptions::default());
        ledger.lead(now, 1);
        let quota = Quota {
            requests_per_second: RATE,
            burst: BURST,
            concurrent_streams: 0,
        };
        ledger.set_quota(now, TENANT, Some(quota));
        Self {
            now,
            random: SmallRng::seed_from_u64(seed),
            ledger,
            desks: vec![QuotaClient::default(); NODES],
            ids: vec![0; NODES],
            post: Post::default(),
            asked: Vec::new(),
            decisions: Vec::new(),
        }
    }

    fn press(&mut self) {
        for _ in 0..PRESS_BURST {
            self.call();
        }
        for millis in 0..PRESS_MS {
            if millis % PRESS_PERIOD_MS == 0 {
                self.call();
            }
            self.step();
        }
    }

    /// Calls now and then on every node, well under the quota.
    fn stroll(&mut self, millis: u64) {
        for millis in 0..millis {
            if millis % 120 == 0 {
                self.call();
            }
            self.step();
        }
    }

    fn rest(&mut self, millis: u64) {
        for _ in 0..millis {
            self.step();
        }
    }

    fn call(&mut self) {
        let node = self.random.random_range(0..NODES);
        let ask = LocalQuotaRequest {
            request_id: self.asked.len() as u64,
            tenant: TENANT.to_owned(),
            timeout_ms: TIMEOUT_MS,
            ..LocalQuotaRequest::default()
        };
        self.asked.push(self.now);
        let replies = self.desks[node].ask(self.now, &ask, false);
        self.take(replies);
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        self.ledger.tick(self.now);
        self.deliver();
        for node in 0..NODES {
            let replies = self.desks[node].tick(self.now);
            self.take(replies);
            let name = name_of(node);
            let id = &mut self.ids[node];
            let layout = ShardLayout::new(1);
            for request in self.desks[node].requests(self.now, layout, &name, 1, id) {
                self.send(Parcel::Request(request));
            }
        }
    }

    fn take(&mut self, replies: Vec<LocalQuotaReply>) {
        for reply in replies {
            let asked = self.asked[reply.request_id as usize];
            self.decisions.push(Decision {
                code: reply.code,
                at: self.now,
                waited: self.now.since(asked),
            });
        }
    }

    fn send(&mut self, parcel: Parcel) {
        let delay = self.random.random_range(0..=LONGEST_DELAY_MS);
        let at = self.now + Duration::from_millis(delay);
        self.post.send(at, parcel);
    }

    fn deliver(&mut self) {
        let now = self.now;
        for parcel in self.post.take_arrived(now) {
            match parcel {
                Parcel::Request(request) => {
                    for output in self.ledger.handle(now, &request) {
                        self.send(output.into());
                    }
                }
                Parcel::Reply(node, reply) => {
                    let replies = self.desks[node].reply(now, &reply);
                    self.take(replies);
                }
                Parcel::Recall(node, recall) => self.desks[node].recall(&recall),
            }
        }
    }

    fn count(&self, code: ResultCode) -> usize {
        let of_code = |decision: &&Decision| decision.code == code.number();
        self.decisions.iter().filter(of_code).count()
    }

    fn longest_wait_since(&self, start: MonotonicTime) -> Duration {
        let decisions = self.decisions.iter().filter(|it| it.at >= start);
        decisions.map(|it| it.waited).max().unwrap_or_default()
    }
}

#[test]
fn a_hot_tenant_is_served_or_refused_soon() {
    for seed in 0..20 {
        let mut rig = Rig::new(seed);
        rig.rest(10_000);
        rig.stroll(3_000);
        let start = rig.now;
        rig.press();
        rig.rest(u64::from(TIMEOUT_MS));
        let waited = rig.longest_wait_since(start);
        assert!(waited <= LONGEST_DECISION, "seed {seed}: waited {waited:?}");
        assert!(rig.count(ResultCode::QuotaExceeded) > 0, "seed {seed}");
        assert_eq!(rig.count(ResultCode::QuotaUnavailable), 0, "seed {seed}");
    }
}

#[test]
fn a_press_right_after_a_change_of_leader_leaves_no_queue_behind() {
    for seed in 0..20 {
        let mut rig = Rig::new(seed);
        rig.rest(300);
        rig.press();
        rig.rest(u64::from(TIMEOUT_MS));
        let undecided = rig.count(ResultCode::QuotaUnavailable);
        assert_eq!(undecided, 0, "seed {seed}: calls waited their time away");
        let start = rig.now;
        rig.press();
        rig.rest(u64::from(TIMEOUT_MS));
        let waited = rig.longest_wait_since(start);
        assert!(waited <= LONGEST_DECISION, "seed {seed}: waited {waited:?}");
        assert_eq!(rig.asked.len(), rig.decisions.len(), "seed {seed}");
    }
}
