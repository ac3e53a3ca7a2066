//! Control nodes, a network between them and simulated time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use millford_api::internal::Frame;
use millford_control::{
    ControlNode, ControlOptions, LinkId, NodeEvent, NodeInput, NodeOutput, OperatorReply,
    OperatorRequest, PeerKind,
};
use millford_core::{MonotonicTime, NodeId, ShardId};

use super::memory_disk::MemoryMachine;

/// Network latency of a frame.
const LATENCY: Duration = Duration::from_millis(1);

/// Step of the simulated time.
const TICK: Duration = Duration::from_millis(20);

/// One end of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct End {
    /// Address of the machine.
    pub(crate) address: String,
    /// Number of the link on that machine.
    pub(crate) link: LinkId,
}

enum Event {
    Frame(End, Box<Frame>),
    Opened(End, PeerKind),
    Closed(End),
}

/// A machine with its disk, running or stopped.
pub(crate) struct Machine {
    /// The machine's folders, which are kept while it is stopped.
    pub(crate) disk: MemoryMachine,
    /// The running node; absent while the machine is stopped.
    pub(crate) node: Option<ControlNode>,
    seeds: Vec<String>,
}

/// Control nodes, the network between them and the simulated time.
pub(crate) struct Cluster {
    /// The current simulated time.
    pub(crate) now: MonotonicTime,
    /// Machines by address.
    pub(crate) machines: BTreeMap<String, Machine>,
    /// Events of the nodes in order, each with the node's address.
    pub(crate) node_events: Vec<(String, NodeEvent)>,
    /// Replies to operators, by request number.
    pub(crate) replies: BTreeMap<u64, OperatorReply>,
    /// Frames received at ends that belong to test agents instead of nodes.
    pub(crate) inbox: BTreeMap<End, VecDeque<Frame>>,
    /// Addresses whose frames are lost, in both directions.
    pub(crate) partitioned: BTreeSet<String>,
    /// Pairs of addresses; frames from the first to the second are lost.
    pub(crate) partitioned_pairs: BTreeSet<(String, String)>,
    seeds: Vec<String>,
    seed: u64,
    boots: u64,
    events: BTreeMap<(MonotonicTime, u64), Event>,
    order: u64,
    peer_ends: BTreeMap<End, End>,
    last_link: u64,
    last_request: u64,
    replace_after: Duration,
    voters_per_shard: usize,
}

impl Cluster {
    /// Starts `nodes` empty machines that are each other's seeds.
    pub(crate) fn start(nodes: usize, seed: u64) -> Self {
        let seeds: Vec<String> = (1..=nodes).map(|number| format!("node-{number}")).collect();
        let mut cluster = Self::empty(seeds.clone(), seed);
        for address in &seeds {
            cluster.boot(address);
        }
        cluster
    }

    /// A cluster without machines; `seeds` are the seeds of the first ones.
    pub(crate) fn empty(seeds: Vec<String>, seed: u64) -> Self {
        Self {
            now: MonotonicTime::from_millis(1000),
            machines: BTreeMap::new(),
            node_events: Vec::new(),
            replies: BTreeMap::new(),
            inbox: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            partitioned_pairs: BTreeSet::new(),
            seeds,
            seed,
            boots: 0,
            events: BTreeMap::new(),
            order: 0,
            peer_ends: BTreeMap::new(),
            last_link: 0,
            last_request: 0,
            replace_after: Duration::from_secs(5),
            voters_per_shard: 3,
        }
    }

    /// Sets the number of voters per shard for machines that are started afterwards.
    pub(crate) fn with_voters(mut self, voters: usize) -> Self {
        self.voters_per_shard = voters;
        self
    }

    /// Starts the machine at this address with its disk, which is empty at the first start.
    pub(crate) fn boot(&mut self, address: &str) {
        self.boots += 1;
        let boot = self.boots;
        let seeds = self.seeds_for_a_new_machine();
        let machine = self
            .machines
            .entry(address.to_owned())
            .or_insert_with(|| Machine {
                disk: MemoryMachine::default(),
                node: None,
                seeds,
            });
        let options = ControlOptions {
            zone: "zone".to_owned(),
            internal_address: address.to_owned(),
            operator_address: format!("{address}-operator"),
            seeds: machine.seeds.clone(),
            data_shards: 2,
            voters_per_shard: self.voters_per_shard,
            replace_after: self.replace_after,
            seed: self.seed * 1_000_000 + boot,
        };
        let disk = machine.disk.clone();
        let node = ControlNode::open(options, move |name| disk.folder(name), self.now);
        machine.node = Some(node.expect("the node opens"));
    }

    /// The first machines are each other's seeds. The seeds of a later one are the machines that
    /// run when it is set up.
    fn seeds_for_a_new_machine(&self) -> Vec<String> {
        if self.machines.len() < self.seeds.len() {
            return self.seeds.clone();
        }
        let machines = self.machines.iter();
        machines
            .filter(|(_, machine)| machine.node.is_some())
            .map(|(address, _)| address.clone())
            .collect()
    }

    /// Stops the node without a shutdown and closes its links.
    pub(crate) fn kill(&mut self, address: &str) {
        self.machines.get_mut(address).expect("a machine").node = None;
        let ends: Vec<End> = self
            .peer_ends
            .keys()
            .filter(|end| end.address == address)
            .cloned()
            .collect();
        for end in ends {
            self.close(&end);
        }
    }

    /// Runs the cluster for this much simulated time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs the cluster until the condition holds. Panics after `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        what: &str,
        condition: impl Fn(&Self) -> bool,
    ) {
        let end = self.now + limit;
        while !condition(self) {
            assert!(
                self.now < end,
                "not within {limit:?}: {what}; last events {:#?}",
                self.node_events.iter().rev().take(24).collect::<Vec<_>>()
            );
            self.step();
        }
    }

    /// Whether every shard has a confirmed leader on a running node.
    pub(crate) fn has_leaders(&self) -> bool {
        (0..=2).all(|shard| self.leader(ShardId(shard)).is_some())
    }

    /// Address of the shard's confirmed leader; the one with the largest term if there are several.
    pub(crate) fn leader(&self, shard: ShardId) -> Option<String> {
        let nodes = self.machines.iter().filter_map(|(address, machine)| {
            let core = machine.node.as_ref()?.core(shard)?;
            let status = core.status();
            let confirmed = status.leads_confirmed && core.reported_status().leads;
            confirmed.then(|| (status.term, address.clone()))
        });
        nodes.max().map(|(_, address)| address)
    }

    /// Identities of the shard's voters, from its leader; empty without a leader or while a change
    /// is not committed.
    pub(crate) fn voters(&self, shard: ShardId) -> Vec<NodeId> {
        let Some(leader) = self.leader(shard) else {
            return Vec::new();
        };
        let core = self.node(&leader).core(shard).expect("the leader's core");
        let status = core.status();
        if status.configuration_committed {
            status.voters
        } else {
            Vec::new()
        }
    }

    /// The running node at this address. Panics when it is stopped.
    pub(crate) fn node(&self, address: &str) -> &ControlNode {
        let machine = self.machines.get(address).expect("a machine");
        machine.node.as_ref().expect("a running node")
    }

    /// Identity of the running node at this address.
    pub(crate) fn identity(&self, address: &str) -> NodeId {
        self.node(address).identity()
    }

    /// Sends an operator's request. [`Cluster::answer`] waits for the reply.
    pub(crate) fn request(&mut self, address: &str, body: OperatorRequest) -> u64 {
        self.last_request += 1;
        let request = self.last_request;
        self.input(address, NodeInput::Operator { request, body });
        request
    }

    /// Waits for the reply to an operator's request.
    pub(crate) fn answer(&mut self, request: u64) -> OperatorReply {
        self.run_until(
            Duration::from_secs(8),
            "a reply to an operator",
            |cluster| cluster.replies.contains_key(&request),
        );
        self.replies
            .remove(&request)
            .expect("the reply was received")
    }

    /// Opens a link from a test agent to a node. Returns the agent's end.
    pub(crate) fn open_link(&mut self, from: &str, to: &str) -> End {
        self.last_link += 1;
        let near = End {
            address: from.to_owned(),
            link: LinkId(self.last_link),
        };
        let far = self.far_end(to);
        self.join(near.clone(), far);
        near
    }

    /// Sends a frame from a test agent's end.
    pub(crate) fn send(&mut self, end: &End, frame: Frame) {
        self.post(end, frame);
    }

    /// Closes a link; the other end is notified.
    pub(crate) fn close(&mut self, end: &End) {
        let Some(other) = self.peer_ends.remove(end) else {
            return;
        };
        self.peer_ends.remove(&other);
        self.schedule(Event::Closed(other));
    }

    /// Takes the frames received at a test agent's end.
    pub(crate) fn take_frames(&mut self, end: &End) -> Vec<Frame> {
        let frames = self.inbox.remove(end);
        frames.unwrap_or_default().into_iter().collect()
    }

    /// Passes an input to a running node at once and executes its outputs.
    pub(crate) fn input(&mut self, address: &str, input: NodeInput) {
        let now = self.now;
        let machine = self.machines.get_mut(address);
        let Some(node) = machine.and_then(|machine| machine.node.as_mut()) else {
            return;
        };
        let outputs = node.handle(now, input);
        for output in outputs {
            self.execute(address, output);
        }
    }

    fn step(&mut self) {
        let next_tick = self.now + TICK;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > next_tick {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = self.now.max(time);
            self.deliver(event);
        }
        self.now = next_tick;
        let addresses: Vec<String> = self.machines.keys().cloned().collect();
        for address in addresses {
            self.input(&address, NodeInput::Tick);
        }
    }

    fn deliver(&mut self, event: Event) {
        match event {
            Event::Frame(end, frame) => {
                if !self.peer_ends.contains_key(&end) || self.partitioned.contains(&end.address) {
                    return;
                }
                let frame = *frame;
                if self.machines.contains_key(&end.address) {
                    let link = end.link;
                    self.input(&end.address, NodeInput::Frame { link, frame });
                } else {
                    self.inbox.entry(end).or_default().push_back(frame);
                }
            }
            Event::Opened(end, peer) => {
                let link = end.link;
                self.input(&end.address, NodeInput::LinkOpened { link, peer });
            }
            Event::Closed(end) => {
                let link = end.link;
                self.input(&end.address, NodeInput::LinkClosed { link });
            }
        }
    }

    fn execute(&mut self, address: &str, output: NodeOutput) {
        let end = |link| End {
            address: address.to_owned(),
            link,
        };
        match output {
            NodeOutput::Send { link, frame } => self.post(&end(link), frame),
            NodeOutput::Connect { link, address: to } => self.connect(end(link), &to),
            NodeOutput::Close { link } => self.close(&end(link)),
            NodeOutput::OperatorReply { request, reply } => {
                self.replies.insert(request, reply);
            }
            NodeOutput::Event(event) => self.node_events.push((address.to_owned(), event)),
            NodeOutput::Fatal { code } => panic!("fatal error of {address}: {code}"),
        }
    }

    fn connect(&mut self, near: End, to: &str) {
        let running = self
            .machines
            .get(to)
            .is_some_and(|machine| machine.node.is_some());
        let reachable = !self.partitioned.contains(to) && !self.partitioned.contains(&near.address);
        if !running || !reachable {
            self.schedule(Event::Closed(near));
            return;
        }
        let far = self.far_end(to);
        self.join(near, far);
    }

    fn far_end(&mut self, to: &str) -> End {
        self.last_link += 1;
        End {
            address: to.to_owned(),
            link: LinkId(self.last_link),
        }
    }

    fn join(&mut self, near: End, far: End) {
        self.peer_ends.insert(near.clone(), far.clone());
        self.peer_ends.insert(far.clone(), near.clone());
        self.schedule(Event::Opened(far, PeerKind::Incoming));
        self.schedule(Event::Opened(near, PeerKind::Outgoing));
    }

    fn post(&mut self, from: &End, frame: Frame) {
        let Some(to) = self.peer_ends.get(from).cloned() else {
            return;
        };
        let pair = (from.address.clone(), to.address.clone());
        if !self.partitioned.contains(&from.address) && !self.partitioned_pairs.contains(&pair) {
            self.schedule(Event::Frame(to, Box::new(frame)));
        }
    }

    fn schedule(&mut self, event: Event) {
        self.order += 1;
        self.events.insert((self.now + LATENCY, self.order), event);
    }
}
