//! The agents' own quota desks against the leaders' ledgers, in simulated time, for one tenant.

use std::collections::BTreeMap;

use millford_agent::quota::QuotaClient;
use millford_api::config::Quota;
use millford_api::internal::{QuotaRecall, QuotaReply, QuotaRequest};
use millford_api::local::{LocalQuotaRelease, LocalQuotaReply, LocalQuotaRequest};
use millford_control_state::quota::{QuotaLeases, QuotaOptions, QuotaOutput, STEP_DOWN_BOUND};
use millford_core::{MonotonicTime, ResultCode, ShardLayout, tenant_key};

use crate::random::Random;

const TENANT: &str = "library";

/// Calls give up after this time, in milliseconds.
const CALL_TIMEOUT_MS: u32 = 60_000;
/// The first leader has led for an hour.
const START_MS: u64 = 3_600_000;

enum Message {
    ToLeader {
        leader: usize,
        request: QuotaRequest,
    },
    Reply {
        desk: usize,
        reply: QuotaReply,
    },
    Recall {
        desk: usize,
        recall: QuotaRecall,
    },
    EndOfStream {
        desk: usize,
    },
}

/// What the callers saw.
#[derive(Debug, Default)]
pub struct Outcome {
    /// When calls were admitted, in microseconds.
    pub admitted: Vec<u64>,
    pub arrived: u64,
    pub refused: u64,
    pub timed_out: u64,
    /// Most streams that were open at once.
    pub most_streams: u32,
}

/// Desks, ledgers and the network between them; a step is a millisecond.
pub struct DeskWorld {
    pub outcome: Outcome,
    pub loss_percent: u64,
    quota: Quota,
    random: Random,
    now_ms: u64,
    desks: Vec<QuotaClient>,
    leaders: Vec<QuotaLeases>,
    /// Which leader each desk's requests are forwarded to.
    forwards_to: Vec<usize>,
    next_id: Vec<u64>,
    next_call: u64,
    streams: BTreeMap<u64, bool>,
    messages: BTreeMap<(u64, u64), Message>,
    stops: BTreeMap<u64, usize>,
    sequence: u64,
}

impl DeskWorld {
    pub fn new(seed: u64, quota: Quota, desks: usize) -> Self {
        let mut world = Self {
            outcome: Outcome::default(),
            loss_percent: 0,
            quota,
            random: Random(seed),
            now_ms: 0,
            desks: vec![QuotaClient::default(); desks],
            leaders: Vec::new(),
            forwards_to: vec![0; desks],
            next_id: vec![0; desks],
            next_call: 0,
            streams: BTreeMap::new(),
            messages: BTreeMap::new(),
            stops: BTreeMap::new(),
            sequence: 0,
        };
        world.add_leader();
        world.now_ms = START_MS;
        world
    }

    pub fn random(&mut self, limit: u64) -> u64 {
        self.random.below(limit)
    }

    /// A call arrives at a desk; a stream takes a slot until it ends.
    pub fn call(&mut self, desk: usize, stream: bool) {
        self.next_call += 1;
        self.outcome.arrived += 1;
        self.streams.insert(self.next_call, stream);
        let ask = LocalQuotaRequest {
            request_id: self.next_call,
            tenant: TENANT.to_owned(),
            stream,
            timeout_ms: CALL_TIMEOUT_MS,
            waited_ms: 0,
        };
        let limited = self.quota.concurrent_streams > 0;
        let now = self.now();
        let replies = self.desks[desk].ask(now, &ask, limited);
        self.take(desk, replies);
    }

    /// A new leader; the former one goes on until the bound of its stepping down.
    pub fn elect(&mut self) {
        let former = self.leaders.len() - 1;
        let bound = u64::try_from(STEP_DOWN_BOUND.as_millis()).expect("small");
        let stop = self.now_ms + self.random.below(bound);
        self.stops.insert(stop, former);
        self.add_leader();
    }

    /// Goes on by one millisecond.
    pub fn step(&mut self) {
        self.now_ms += 1;
        while let Some((&at, &leader)) = self.stops.first_key_value() {
            if at > self.now_ms {
                break;
            }
            self.stops.remove(&at);
            self.leaders[leader].resign();
        }
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let message = entry.remove();
            self.deliver(message);
        }
        for desk in 0..self.desks.len() {
            let now = self.now();
            let replies = self.desks[desk].tick(now);
            self.take(desk, replies);
            self.send_requests(desk);
        }
        let open = self.desks.iter().map(QuotaClient::slots_in_use).sum();
        self.outcome.most_streams = self.outcome.most_streams.max(open);
    }

    fn send_requests(&mut self, desk: usize) {
        let layout = ShardLayout::new(1);
        let now = self.now();
        let name = desk.to_string();
        let next_id = &mut self.next_id[desk];
        for request in self.desks[desk].requests(now, layout, &name, 1, next_id) {
            let leader = self.forwards_to[desk];
            self.send(Message::ToLeader { leader, request });
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::ToLeader { leader, request } => {
                self.leaders[leader].tick(now);
                for output in self.leaders[leader].handle(now, &request) {
                    self.send_output(output);
                }
            }
            Message::Reply { desk, reply } => {
                if reply.code == ResultCode::NotLeader.number() {
                    self.forwards_to[desk] = self.leaders.len() - 1;
                }
                let replies = self.desks[desk].reply(now, &reply);
                self.take(desk, replies);
            }
            Message::Recall { desk, recall } => self.desks[desk].recall(&recall),
            Message::EndOfStream { desk } => {
                let release = LocalQuotaRelease {
                    tenant: TENANT.to_owned(),
                    stream: true,
                    unused: false,
                };
                let limited = self.quota.concurrent_streams > 0;
                let replies = self.desks[desk].release(now, &release, limited);
                self.take(desk, replies);
            }
        }
    }

    fn send_output(&mut self, output: QuotaOutput) {
        match output {
            QuotaOutput::Reply { member, reply } => {
                let desk = member.parse().expect("a desk");
                self.send(Message::Reply { desk, reply });
            }
            QuotaOutput::Recall { member, recall, .. } => {
                let desk = member.parse().expect("a desk");
                self.send(Message::Recall { desk, recall });
            }
        }
    }

    fn take(&mut self, desk: usize, replies: Vec<LocalQuotaReply>) {
        for reply in replies {
            let stream = self.streams.remove(&reply.request_id).unwrap_or(false);
            if reply.granted {
                self.outcome.admitted.push(self.now_ms * 1000);
                if stream {
                    let at = self.now_ms + 100 + self.random.below(1500);
                    self.post(at, Message::EndOfStream { desk });
                }
            } else if reply.code == ResultCode::QuotaUnavailable.number() {
                self.outcome.timed_out += 1;
            } else {
                self.outcome.refused += 1;
            }
        }
    }

    fn add_leader(&mut self) {
        let shard = ShardLayout::new(1).shard_of(&tenant_key(TENANT));
        let mut ledger = QuotaLeases::new(shard, QuotaOptions::default());
        ledger.lead(self.now(), self.leaders.len() as u64 + 1);
        ledger.set_quota(self.now(), TENANT, Some(self.quota));
        self.leaders.push(ledger);
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::from_millis(self.now_ms)
    }

    fn send(&mut self, message: Message) {
        if self.random.below(100) < self.loss_percent {
            return;
        }
        let at = self.now_ms + 1 + self.random.below(2);
        self.post(at, message);
    }

    fn post(&mut self, at: u64, message: Message) {
        self.sequence += 1;
        self.messages.insert((at, self.sequence), message);
    }
}
