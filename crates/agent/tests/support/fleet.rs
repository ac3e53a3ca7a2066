//! Simulated time, one agent, its proxy's views and the control nodes.

use std::collections::{BTreeMap, VecDeque};

use millford_agent::{AgentCore, AgentInput, AgentOptions, AgentOutput};
use millford_api::internal::{Frame, frame};
use millford_api::local::{LocalFrame, ProxyHello, local_frame};
use millford_api::state::StateItem;
use millford_core::{Duration, MonotonicTime, ShardId};
use millford_feed::{FeedOutcome, FeedView};

use super::{ControlStandIn, DATA_SHARDS, SharedShards};

/// Time on the way, each way.
const LATENCY: Duration = Duration::from_millis(1);

pub struct Fleet {
    pub now: MonotonicTime,
    pub core: AgentCore,
    pub shared: SharedShards,
    pub controls: Vec<ControlStandIn>,
    pub link: Option<(u64, usize)>,
    pub proxy: BTreeMap<u32, FeedView>,
    pub proxy_frames: Vec<(MonotonicTime, LocalFrame)>,
    pub connects: Vec<(MonotonicTime, String)>,
    pub registry_reads: usize,
    pub saved_members: usize,
    pub stopped: bool,
    /// Connections to absent nodes are not refused: their machines are without power.
    pub without_power: bool,
    arriving: VecDeque<(MonotonicTime, AgentInput)>,
    leaving: VecDeque<(MonotonicTime, u64, Frame)>,
}

impl Fleet {
    /// An agent beside nodes at `addresses`, all with a little state; nothing has happened yet.
    pub fn new(addresses: &[&str]) -> Self {
        let now = MonotonicTime::from_millis(1000);
        let mut fleet = Self {
            now,
            core: AgentCore::new(&options(addresses, 1), now),
            shared: SharedShards::new(MonotonicTime::ZERO),
            controls: addresses.iter().map(|at| ControlStandIn::new(at)).collect(),
            link: None,
            proxy: BTreeMap::new(),
            proxy_frames: Vec::new(),
            connects: Vec::new(),
            registry_reads: 0,
            saved_members: 0,
            stopped: false,
            without_power: false,
            arriving: VecDeque::new(),
            leaving: VecDeque::new(),
        };
        fleet.publish(0, 1, vec![super::head(1)]);
        fleet.publish(
            1,
            1,
            vec![super::backend("p", "a"), super::backend("p", "b")],
        );
        fleet.publish(2, 1, vec![super::backend("q", "c")]);
        fleet
    }

    /// The same, run until every shard is confirmed and the proxy linked.
    pub fn started(addresses: &[&str]) -> Self {
        let mut fleet = Self::new(addresses);
        fleet.link_proxy();
        fleet.run(500);
        assert!(fleet.core.complete() && fleet.core.in_touch());
        assert_ne!(fleet.core.session_epoch(), 0);
        fleet
    }

    /// The agent process starts again; its proxy stays and links again.
    pub fn restart_agent(&mut self, addresses: &[&str]) {
        self.core = AgentCore::new(&options(addresses, 2), self.now);
        self.link = None;
        self.arriving.clear();
        self.leaving.clear();
        self.controls
            .iter_mut()
            .for_each(ControlStandIn::link_closed);
    }

    /// The proxy connects and says hello.
    pub fn link_proxy(&mut self) {
        self.give(AgentInput::ProxyUp);
        self.proxy_sends(local_frame::Body::ProxyHello(ProxyHello::default()));
    }

    pub fn proxy_sends(&mut self, body: local_frame::Body) {
        let frame = Box::new(LocalFrame { body: Some(body) });
        self.give(AgentInput::ProxyFrame(frame));
    }

    /// Every node applies the entry.
    pub fn publish(&mut self, shard: u32, offset: u64, items: Vec<StateItem>) {
        for index in 0..self.controls.len() {
            self.publish_at(index, shard, offset, items.clone());
        }
    }

    /// One node applies the entry.
    pub fn publish_at(&mut self, index: usize, shard: u32, offset: u64, items: Vec<StateItem>) {
        let bodies = self.controls[index].apply(shard, offset, items);
        self.control_sends(index, bodies);
    }

    /// A node sends frames, if it is the one that the agent is linked to.
    pub fn control_sends(&mut self, index: usize, bodies: Vec<frame::Body>) {
        let Some((link, at)) = self.link else { return };
        if at != index || self.controls[index].silent {
            return;
        }
        for body in bodies {
            let frame = Box::new(Frame { body: Some(body) });
            let input = AgentInput::ControlFrame { link, frame };
            self.arriving.push_back((self.now + LATENCY, input));
        }
    }

    /// Index of the node that the agent is linked to.
    pub fn at(&self) -> usize {
        self.link.expect("linked").1
    }

    /// Runs for some milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            self.deliver();
            self.give(AgentInput::Tick);
        }
    }

    pub fn give(&mut self, input: AgentInput) {
        for output in self.core.handle(self.now, input) {
            self.perform(output);
        }
    }

    /// Bodies sent to the proxy since the last call.
    pub fn take_proxy_frames(&mut self) -> Vec<local_frame::Body> {
        let frames = std::mem::take(&mut self.proxy_frames).into_iter();
        frames.filter_map(|(_, frame)| frame.body).collect()
    }

    /// The state of a backend as the proxy sees it.
    pub fn proxy_backend(&self, shard: u32, key: &str) -> Option<i32> {
        let value = self.proxy.get(&shard)?.items().get(key)?;
        match value.kind.as_ref()? {
            millford_api::state::state_value::Kind::Backend(backend) => Some(backend.state),
            _ => None,
        }
    }

    fn deliver(&mut self) {
        while self
            .leaving
            .front()
            .is_some_and(|(at, _, _)| *at <= self.now)
        {
            let (_, link, frame) = self.leaving.pop_front().expect("frame");
            let Some((present, index)) = self.link else {
                continue;
            };
            if present != link {
                continue;
            }
            let bodies = self.controls[index].handle(self.now, frame, &mut self.shared);
            self.control_sends(index, bodies);
        }
        while self.arriving.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, input) = self.arriving.pop_front().expect("input");
            self.give(input);
        }
    }

    fn perform(&mut self, output: AgentOutput) {
        match output {
            AgentOutput::Connect { link, address } => {
                self.connects.push((self.now, address.clone()));
                let mut controls = self.controls.iter();
                let index = controls.position(|control| control.address == address);
                let input = match index {
                    Some(index) => {
                        self.controls[index].link_closed();
                        self.link = Some((link, index));
                        AgentInput::LinkUp { link }
                    }
                    None if self.without_power => return,
                    None => AgentInput::LinkDown { link },
                };
                self.arriving.push_back((self.now + LATENCY, input));
            }
            AgentOutput::SendControl { link, frame } => {
                self.leaving.push_back((self.now + LATENCY, link, *frame));
            }
            AgentOutput::CloseControl { .. } => self.link = None,
            AgentOutput::SendProxy(frame) => self.deliver_to_proxy(*frame),
            AgentOutput::ReadRegistry => self.registry_reads += 1,
            AgentOutput::SaveMembers(_) => self.saved_members += 1,
            AgentOutput::Stopped => self.stopped = true,
        }
    }

    /// The proxy keeps a view of each shard, as the real one does; a gap would be a fault.
    fn deliver_to_proxy(&mut self, frame: LocalFrame) {
        let outcome = match frame.body.clone() {
            Some(local_frame::Body::Snapshot(snapshot)) => {
                self.proxy_view(snapshot.shard).apply_snapshot(snapshot)
            }
            Some(local_frame::Body::Change(change)) => {
                self.proxy_view(change.shard).apply_change(change)
            }
            _ => FeedOutcome::Unchanged,
        };
        assert_ne!(
            outcome,
            FeedOutcome::Resubscribe,
            "gap on the way to the proxy"
        );
        self.proxy_frames.push((self.now, frame));
    }

    fn proxy_view(&mut self, shard: u32) -> &mut FeedView {
        assert!(shard <= DATA_SHARDS);
        let views = &mut self.proxy;
        views
            .entry(shard)
            .or_insert_with(|| FeedView::new(ShardId(shard)))
    }
}

fn options(addresses: &[&str], boot_id: u64) -> AgentOptions {
    AgentOptions {
        name: "node-1".to_owned(),
        zone: "z1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        boot_id,
        control_addresses: addresses.iter().map(|at| (*at).to_owned()).collect(),
        random_seed: 7,
        ..Default::default()
    }
}
