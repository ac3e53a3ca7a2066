//! A tenant exceeds its quota by far on many nodes: requests that are not granted are refused
//! quickly, and no request waits until its timeout while others are granted or refused.

#[path = "support/message_queue.rs"]
mod message_queue;

use message_queue::{Message, MessageQueue, name_of};
use millford_agent::quota::{QuotaClient, StreamLimit};
use millford_api::config::Quota;
use millford_api::local::{LocalQuotaReply, LocalQuotaRequest};
use millford_control_state::quota::{QuotaLeases, QuotaOptions};
use millford_core::{Duration, MonotonicTime, ResultCode, ShardId, ShardLayout};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const NODES: usize = 8;
const TENANT: &str = "hot";
const RATE: u32 = 20;
const BURST: u32 = 40;
/// Number of requests sent at once at the start of an overload.
const OVERLOAD_BURST: u64 = 80;
/// Time between two requests during an overload; the resulting rate is five times the quota's rate.
const OVERLOAD_PERIOD_MS: u64 = 10;
const OVERLOAD_MS: u64 = 4_000;
/// Timeout of a quota request.
const TIMEOUT_MS: u32 = 3_000;
const LONGEST_DELAY_MS: u64 = 5;
/// Largest accepted time to a decision: a recall of idle tokens takes two round trips, and nodes
/// send a new request once a token is due.
const LONGEST_DECISION: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
struct Decision {
    code: u32,
    at: MonotonicTime,
    waited: Duration,
}

struct Harness {
    now: MonotonicTime,
    random: SmallRng,
    leases: QuotaLeases,
    clients: Vec<QuotaClient>,
    ids: Vec<u64>,
    messages: MessageQueue,
    requested_at: Vec<MonotonicTime>,
    decisions: Vec<Decision>,
}

impl Harness {
    /// Creates idle nodes and a leader whose term starts at 10 s of simulated time.
    fn new(seed: u64) -> Self {
        let now = MonotonicTime::from_millis(10_000);
        let mut leases = QuotaLeases::new(ShardId(1), QuotaOptions::default());
        leases.lead(now, 1);
        let quota = Quota {
            requests_per_second: RATE,
            burst: BURST,
            concurrent_streams: 0,
        };
        leases.set_quota(now, TENANT, Some(quota));
        Self {
            now,
            random: SmallRng::seed_from_u64(seed),
            leases,
            clients: vec![QuotaClient::default(); NODES],
            ids: vec![0; NODES],
            messages: MessageQueue::default(),
            requested_at: Vec::new(),
            decisions: Vec::new(),
        }
    }

    fn overload(&mut self) {
        for _ in 0..OVERLOAD_BURST {
            self.request();
        }
        for millis in 0..OVERLOAD_MS {
            if millis % OVERLOAD_PERIOD_MS == 0 {
                self.request();
            }
            self.step();
        }
    }

    /// Sends a request every 120 ms on a random node, well under the quota.
    fn light_load(&mut self, millis: u64) {
        for millis in 0..millis {
            if millis % 120 == 0 {
                self.request();
            }
            self.step();
        }
    }

    fn idle(&mut self, millis: u64) {
        for _ in 0..millis {
            self.step();
        }
    }

    fn request(&mut self) {
        let node = self.random.random_range(0..NODES);
        let request = LocalQuotaRequest {
            request_id: self.requested_at.len() as u64,
            tenant: TENANT.to_owned(),
            timeout_ms: TIMEOUT_MS,
            ..LocalQuotaRequest::default()
        };
        self.requested_at.push(self.now);
        let replies = self.clients[node].request(self.now, &request, StreamLimit::Unlimited);
        self.record_replies(replies);
    }

    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(1);
        self.leases.tick(self.now);
        self.deliver();
        for node in 0..NODES {
            let replies = self.clients[node].tick(self.now);
            self.record_replies(replies);
            let name = name_of(node);
            let id = &mut self.ids[node];
            let layout = ShardLayout::new(1);
            for request in self.clients[node].due_requests(self.now, layout, &name, 1, id) {
                self.send(Message::Request(request));
            }
        }
    }

    fn record_replies(&mut self, replies: Vec<LocalQuotaReply>) {
        for reply in replies {
            let requested_at = self.requested_at[reply.request_id as usize];
            self.decisions.push(Decision {
                code: reply.code,
                at: self.now,
                waited: self.now.since(requested_at),
            });
        }
    }

    fn send(&mut self, message: Message) {
        let delay = self.random.random_range(0..=LONGEST_DELAY_MS);
        let at = self.now + Duration::from_millis(delay);
        self.messages.send(at, message);
    }

    fn deliver(&mut self) {
        let now = self.now;
        for message in self.messages.take_arrived(now) {
            match message {
                Message::Request(request) => {
                    for output in self.leases.handle(now, &request) {
                        self.send(output.into());
                    }
                }
                Message::Reply(node, reply) => {
                    let replies = self.clients[node].reply(now, &reply);
                    self.record_replies(replies);
                }
                Message::Recall(node, recall) => self.clients[node].recall(&recall),
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
fn requests_of_a_tenant_over_its_quota_are_decided_quickly() {
    for seed in 0..20 {
        let mut harness = Harness::new(seed);
        harness.idle(10_000);
        harness.light_load(3_000);
        let start = harness.now;
        harness.overload();
        harness.idle(u64::from(TIMEOUT_MS));
        let waited = harness.longest_wait_since(start);
        assert!(waited <= LONGEST_DECISION, "seed {seed}: waited {waited:?}");
        assert!(harness.count(ResultCode::QuotaExceeded) > 0, "seed {seed}");
        assert_eq!(
            harness.count(ResultCode::QuotaUnavailable),
            0,
            "seed {seed}"
        );
    }
}

#[test]
fn an_overload_right_after_a_leader_change_leaves_no_request_undecided() {
    for seed in 0..20 {
        let mut harness = Harness::new(seed);
        harness.idle(300);
        harness.overload();
        harness.idle(u64::from(TIMEOUT_MS));
        let undecided = harness.count(ResultCode::QuotaUnavailable);
        assert_eq!(
            undecided, 0,
            "seed {seed}: requests waited until their timeout"
        );
        let start = harness.now;
        harness.overload();
        harness.idle(u64::from(TIMEOUT_MS));
        let waited = harness.longest_wait_since(start);
        assert!(waited <= LONGEST_DECISION, "seed {seed}: waited {waited:?}");
        assert_eq!(
            harness.requested_at.len(),
            harness.decisions.len(),
            "seed {seed}"
        );
    }
}
