//! One agent, its proxy's view of each shard, and fake control nodes under simulated time.

use std::collections::{BTreeMap, VecDeque};

use millford_agent::{AgentCore, AgentInput, AgentOptions, AgentOutput};
use millford_api::internal::{Frame, frame};
use millford_api::local::{LocalFrame, ProxyHello, local_frame};
use millford_api::state::StateItem;
use millford_core::{Duration, MonotonicTime, ShardId};
use millford_feed::{FeedOutcome, FeedView};

use super::{DATA_SHARDS, FakeControlNode, SharedShards};

/// One-way delay of a frame.
const LATENCY: Duration = Duration::from_millis(1);

/// The agent's connection to one of the control nodes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetLink {
    pub(crate) id: u64,
    /// Index of the node.
    pub(crate) node: usize,
}

/// A connection that the agent started to open.
#[derive(Clone, Debug)]
pub(crate) struct ConnectAttempt {
    pub(crate) at: MonotonicTime,
    pub(crate) address: String,
}

/// A frame in flight from the agent to a control node.
struct SentFrame {
    arrives_at: MonotonicTime,
    link: u64,
    frame: Frame,
}

/// One agent with its proxy and the control nodes, under simulated time in steps of one
/// millisecond.
pub(crate) struct Fleet {
    pub(crate) now: MonotonicTime,
    pub(crate) core: AgentCore,
    pub(crate) shared: SharedShards,
    pub(crate) controls: Vec<FakeControlNode>,
    pub(crate) link: Option<FleetLink>,
    /// The proxy's view of each shard.
    pub(crate) proxy: BTreeMap<u32, FeedView>,
    pub(crate) proxy_frames: Vec<(MonotonicTime, LocalFrame)>,
    pub(crate) connects: Vec<ConnectAttempt>,
    pub(crate) registry_reads: usize,
    pub(crate) seed_reads: usize,
    pub(crate) saved_members: usize,
    pub(crate) stopped: bool,
    /// Whether connections to absent nodes time out, as with powered-off machines, instead of being
    /// refused.
    pub(crate) unreachable: bool,
    /// Inputs in flight to the agent, with their arrival times.
    arriving: VecDeque<(MonotonicTime, AgentInput)>,
    sent: VecDeque<SentFrame>,
}

impl Fleet {
    /// Creates an agent and control nodes at `addresses`, which all have the same initial state. No
    /// time has passed.
    pub(crate) fn new(addresses: &[&str]) -> Self {
        let now = MonotonicTime::from_millis(1000);
        let mut fleet = Self {
            now,
            core: AgentCore::new(&options(addresses, 1), now),
            shared: SharedShards::new(MonotonicTime::ZERO),
            controls: addresses
                .iter()
                .map(|at| FakeControlNode::new(at))
                .collect(),
            link: None,
            proxy: BTreeMap::new(),
            proxy_frames: Vec::new(),
            connects: Vec::new(),
            registry_reads: 0,
            seed_reads: 0,
            saved_members: 0,
            stopped: false,
            unreachable: false,
            arriving: VecDeque::new(),
            sent: VecDeque::new(),
        };
        fleet.publish(0, 1, &[super::head(1)]);
        fleet.publish(1, 1, &[super::backend("p", "a"), super::backend("p", "b")]);
        fleet.publish(2, 1, &[super::backend("q", "c")]);
        fleet
    }

    /// Creates a fleet as [`Self::new`] does, connects the proxy, and runs until every shard is
    /// confirmed.
    pub(crate) fn started(addresses: &[&str]) -> Self {
        let mut fleet = Self::new(addresses);
        fleet.start();
        fleet
    }

    /// Creates a fleet as [`Self::started`] does, whose agent serves a draining proxy for at most `drain_timeout`.
    pub(crate) fn started_with_drain_timeout(addresses: &[&str], drain_timeout: Duration) -> Self {
        let mut fleet = Self::new(addresses);
        let options = AgentOptions {
            drain_timeout,
            ..options(addresses, 1)
        };
        fleet.core = AgentCore::new(&options, fleet.now);
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        self.connect_proxy();
        self.run(500);
        assert!(self.core.complete() && self.core.is_connected());
        assert_ne!(self.core.session_epoch(), 0);
    }

    /// Restarts the agent process. The proxy keeps running and has to be connected again.
    pub(crate) fn restart_agent(&mut self, addresses: &[&str]) {
        self.core = AgentCore::new(&options(addresses, 2), self.now);
        self.link = None;
        self.arriving.clear();
        self.sent.clear();
        self.controls
            .iter_mut()
            .for_each(FakeControlNode::unsubscribe_agent);
    }

    /// Connects the proxy and sends its hello.
    pub(crate) fn connect_proxy(&mut self) {
        self.handle(AgentInput::ProxyUp);
        self.proxy_sends(local_frame::Body::ProxyHello(ProxyHello::default()));
    }

    /// Sends a frame from the proxy, which the agent receives immediately.
    pub(crate) fn proxy_sends(&mut self, body: local_frame::Body) {
        let frame = Box::new(LocalFrame { body: Some(body) });
        self.handle(AgentInput::ProxyFrame(frame));
    }

    /// Applies an entry with `items` at every node.
    pub(crate) fn publish(&mut self, shard: u32, offset: u64, items: &[StateItem]) {
        for index in 0..self.controls.len() {
            self.publish_at(index, shard, offset, items.to_vec());
        }
    }

    /// Applies an entry with `items` at one node.
    pub(crate) fn publish_at(
        &mut self,
        index: usize,
        shard: u32,
        offset: u64,
        items: Vec<StateItem>,
    ) {
        let bodies = self.controls[index].apply(shard, offset, items);
        self.control_sends(index, bodies);
    }

    /// Sends frames from a node, if the agent is connected to that node and it is responsive.
    pub(crate) fn control_sends(&mut self, index: usize, bodies: Vec<frame::Body>) {
        let Some(link) = self.link else { return };
        if link.node != index || self.controls[index].unresponsive {
            return;
        }
        let link = link.id;
        for body in bodies {
            let frame = Box::new(Frame { body: Some(body) });
            let input = AgentInput::ControlFrame { link, frame };
            self.arriving.push_back((self.now + LATENCY, input));
        }
    }

    /// Returns the index of the node that the agent is connected to.
    pub(crate) fn connected_node(&self) -> usize {
        self.link.expect("a connection to a control node").node
    }

    /// Advances simulated time by `millis`.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            self.deliver();
            self.handle(AgentInput::Tick);
        }
    }

    /// Passes an input to the agent and performs its outputs.
    pub(crate) fn handle(&mut self, input: AgentInput) {
        for output in self.core.handle(self.now, input) {
            self.perform(output);
        }
    }

    /// Removes and returns the bodies of the frames sent to the proxy since the last call.
    pub(crate) fn take_proxy_frames(&mut self) -> Vec<local_frame::Body> {
        let frames = std::mem::take(&mut self.proxy_frames).into_iter();
        frames.filter_map(|(_, frame)| frame.body).collect()
    }

    /// Returns the state of a backend in the proxy's view.
    pub(crate) fn proxy_backend(&self, shard: u32, key: &str) -> Option<i32> {
        let value = self.proxy.get(&shard)?.items().get(key)?;
        match value.kind.as_ref()? {
            millford_api::state::state_value::Kind::Backend(backend) => Some(backend.state),
            _ => None,
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        while self.sent.front().is_some_and(|sent| sent.arrives_at <= now) {
            let sent = self.sent.pop_front().expect("frame");
            let Some(link) = self.link.filter(|link| link.id == sent.link) else {
                continue;
            };
            let control = &mut self.controls[link.node];
            let bodies = control.handle(now, sent.frame, &mut self.shared);
            self.control_sends(link.node, bodies);
        }
        while self.arriving.front().is_some_and(|(at, _)| *at <= self.now) {
            let (_, input) = self.arriving.pop_front().expect("input");
            self.handle(input);
        }
    }

    fn perform(&mut self, output: AgentOutput) {
        match output {
            AgentOutput::Connect { link, address } => {
                self.connects.push(ConnectAttempt {
                    at: self.now,
                    address: address.clone(),
                });
                let mut controls = self.controls.iter();
                let index = controls.position(|control| control.address == address);
                let input = match index {
                    Some(index) => {
                        self.controls[index].unsubscribe_agent();
                        self.link = Some(FleetLink {
                            id: link,
                            node: index,
                        });
                        AgentInput::LinkUp { link }
                    }
                    None if self.unreachable => return,
                    None => AgentInput::LinkDown { link },
                };
                self.arriving.push_back((self.now + LATENCY, input));
            }
            AgentOutput::SendControl { link, frame } => {
                self.sent.push_back(SentFrame {
                    arrives_at: self.now + LATENCY,
                    link,
                    frame: *frame,
                });
            }
            AgentOutput::CloseControl { .. } => self.link = None,
            AgentOutput::SendProxy(frame) => self.deliver_to_proxy(*frame),
            AgentOutput::ReadRegistry => self.registry_reads += 1,
            AgentOutput::ReadSeeds => self.seed_reads += 1,
            AgentOutput::SaveMembers(_) => self.saved_members += 1,
            AgentOutput::Stopped => self.stopped = true,
        }
    }

    /// Applies a frame to the proxy's view of its shard, as a real proxy does, and asserts that
    /// there is no gap.
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
            "gap in the frames to the proxy"
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
