//! The core of one shard: replica, state machine, sessions, feed and the duties of a leader.

use std::sync::Arc;

use millford_api::command::Command;
use millford_api::replication::VoterSet;
use millford_control_state::ShardMachine;
use millford_core::{Duration, MonotonicTime, NodeId, ResultCode, ShardId, ShardLayout};
use millford_feed::{FeedDelivery, FeedPublisher};
use millford_membership::SessionTable;
use millford_replication::{OpenError, Ready, Replica, ReplicaOptions, ReplicaStatus, Role};
use millford_storage::{Disk, ReplicaStorage, StorageError, StorageOptions};
use prost::Message;

use super::catalogue::CatalogueDuty;
use super::input::ShardInput;
use super::members::MemberView;
use super::output::ShardOutput;
use super::placement_role::PlacementRole;
use super::proposals::{Proposals, Purpose};
use super::quota_desk::QuotaService;
use super::reads::Reads;
use super::repair::Repair;
use super::standing::ShardStanding;
use super::subscriptions::Subscriptions;
use super::upkeep::Upkeep;
use crate::link::LinkId;
use crate::timing::OUT_OF_TOUCH;

/// Opens the disk of a shard, again after a forced recovery.
pub type DiskOpener = Arc<dyn Fn() -> Box<dyn Disk> + Send + Sync>;

/// Everything a core is opened with.
#[derive(Clone)]
pub struct ShardCoreOptions {
    /// The shard.
    pub shard: ShardId,
    /// Identity of this node.
    pub identity: NodeId,
    /// First voters; empty for a replica that its leader fills.
    pub voters: Vec<NodeId>,
    /// Layout of the cluster.
    pub layout: ShardLayout,
    /// Seed of the replica's random numbers.
    pub seed: u64,
    /// Voters of a whole group.
    pub voters_per_shard: usize,
    /// Silence after which a voter is replaced.
    pub replace_after: Duration,
    /// Opens the shard's disk.
    pub disk: DiskOpener,
}

/// The core of one shard on this node.
///
/// Inputs go to [`ShardCore::handle`]; what they lead to leaves with the next
/// [`ShardCore::flush`], after one fsync for all of them.
pub struct ShardCore {
    pub(super) options: ShardCoreOptions,
    pub(super) replica: Replica,
    pub(super) machine: ShardMachine,
    pub(super) publisher: FeedPublisher,
    pub(super) sessions: SessionTable,
    pub(super) proposals: Proposals,
    pub(super) reads: Reads,
    pub(super) subscriptions: Subscriptions,
    pub(super) repair: Repair,
    pub(super) members: MemberView,
    pub(super) catalogue: CatalogueDuty,
    pub(super) quota: QuotaService,
    pub(super) placement: PlacementRole,
    pub(super) upkeep: Upkeep,
    pub(super) standing: ShardStanding,
    pub(super) outputs: Vec<ShardOutput>,
    pub(super) snapshot_index: u64,
    /// Bytes of the entries that were applied since the last snapshot.
    pub(super) bytes_since_snapshot: usize,
    failed: bool,
}

impl ShardCore {
    /// Opens the shard's storage and its replica.
    ///
    /// [`StorageError::Corrupt`] means that this node must start over under a new identity.
    pub fn open(options: ShardCoreOptions, now: MonotonicTime) -> Result<Self, StorageError> {
        let replica = open_replica(&options, now)?;
        let shard = options.shard;
        Ok(Self {
            replica,
            machine: ShardMachine::new(shard),
            publisher: FeedPublisher::new(shard),
            sessions: SessionTable::default(),
            proposals: Proposals::default(),
            reads: Reads::default(),
            subscriptions: Subscriptions::default(),
            repair: Repair {
                replace_after: options.replace_after,
                voters: options.voters_per_shard,
            },
            members: MemberView::default(),
            catalogue: CatalogueDuty::default(),
            quota: QuotaService::new(shard),
            placement: PlacementRole::default(),
            upkeep: Upkeep::new(now),
            standing: ShardStanding::unknown(shard),
            outputs: Vec::new(),
            snapshot_index: 0,
            bytes_since_snapshot: 0,
            failed: false,
            options,
        })
    }

    /// Takes one input.
    pub fn handle(&mut self, now: MonotonicTime, input: ShardInput) {
        if self.failed {
            return;
        }
        match input {
            ShardInput::Tick => self.tick(now),
            ShardInput::Replication(message) => self.replica.step(now, message),
            ShardInput::Request { ticket, request } => self.request(now, ticket, request),
            ShardInput::Quota { ticket, request } => self.ask_quota(now, ticket, &request),
            ShardInput::Load(report) => self.load_report(now, &report),
            ShardInput::Subscribe {
                subscriber,
                subscribe,
            } => self.subscribe(now, subscriber, subscribe),
            ShardInput::Unsubscribe { subscriber } => self.unsubscribe(subscriber),
            ShardInput::LeaderIndex { read, index } => self.leader_index(now, read, index),
            ShardInput::Registry(view) => self.catalogue.registry(view),
            ShardInput::Configuration(items) => self.configuration(now, &items),
            ShardInput::Members(view) => self.members = view,
            ShardInput::ForceRecovery => self.force_recovery(now),
            ShardInput::HandOver { to } => self.hand_over_to(to),
            ShardInput::Leave => self.hand_over(),
        }
    }

    /// Makes durable what came in and gives what may leave.
    pub fn flush(&mut self, now: MonotonicTime) -> Vec<ShardOutput> {
        if !self.failed {
            match self.replica.flush(now) {
                Ok(ready) => self.take_ready(now, ready),
                Err(error) => self.fail(&error),
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// The shard.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        self.options.shard
    }

    /// The replicated state as far as this replica has applied it.
    #[must_use]
    pub fn machine(&self) -> &ShardMachine {
        &self.machine
    }

    /// Status of the replica.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// Role and touch, as last told to the gateway.
    #[must_use]
    pub fn standing(&self) -> &ShardStanding {
        &self.standing
    }

    fn take_ready(&mut self, now: MonotonicTime, ready: Ready) {
        let messages = ready.messages.into_iter();
        self.outputs.extend(messages.map(ShardOutput::Replication));
        if let Some(restored) = ready.restored {
            self.restore(now, &restored);
        }
        if ready.lost_leadership {
            self.lost_leadership(now);
        }
        for entry in ready.committed {
            self.apply(now, entry);
        }
        if ready.became_leader {
            self.became_leader(now);
        }
        for read in ready.failed_reads {
            self.read_failed(now, read);
        }
        for read in ready.confirmed_reads {
            self.reads.confirmed(read.request, read.index);
        }
        self.serve_ready_reads();
        self.take_snapshot();
        self.update_standing(now);
    }

    /// Proposes a command of this core or of a request. False: this replica does not lead.
    pub(super) fn propose(&mut self, command: &Command, purpose: Purpose) -> bool {
        let Ok(index) = self.replica.propose(command.encode_to_vec()) else {
            return false;
        };
        let term = self.replica.status().term;
        self.proposals.insert(index, term, purpose);
        true
    }

    fn became_leader(&mut self, now: MonotonicTime) {
        let records = self.machine.sessions().values();
        self.sessions.lead(now, records);
        let term = self.replica.status().term;
        self.quota.ledger.lead(now, term);
        self.placement.lead(now);
        self.upkeep.lead(now);
        self.catalogue.check_soon();
    }

    pub(super) fn lost_leadership(&mut self, now: MonotonicTime) {
        self.sessions.clear();
        self.quota.ledger.resign();
        self.placement.stop();
        for purpose in self.proposals.take_all() {
            if let Purpose::Request(ticket) = purpose {
                self.refuse(ticket, ResultCode::NotLeader);
            }
        }
        self.restart_reads(now);
    }

    /// Tells the gateway when role or touch changed, and regularly, so that a stalled disk shows.
    fn update_standing(&mut self, now: MonotonicTime) {
        let status = self.replica.status();
        let standing = standing_of(self.options.shard, &status, now);
        let out_of_touch = self.standing.in_touch && !standing.in_touch;
        let due = self.upkeep.standing_due(now);
        if standing.differs(&self.standing) || due {
            self.outputs.push(ShardOutput::Standing(standing.clone()));
        }
        self.standing = standing;
        if out_of_touch {
            let deliveries = self.publisher.stale();
            self.deliver(deliveries);
        }
    }

    pub(super) fn deliver(&mut self, deliveries: Vec<FeedDelivery>) {
        let feeds = deliveries.into_iter().map(|delivery| ShardOutput::Feed {
            subscriber: LinkId(delivery.subscriber),
            message: delivery.message,
        });
        self.outputs.extend(feeds);
    }

    /// Leaves leadership to another voter, if there is one that holds everything.
    fn hand_over(&mut self) {
        let status = self.replica.status();
        let mut peers = status.peers.iter();
        let successor = peers.find(|peer| peer.is_voter && peer.caught_up);
        if let Some(node) = successor.map(|successor| successor.node) {
            self.hand_over_to(node);
        }
    }

    fn hand_over_to(&mut self, node: NodeId) {
        // A refusal leaves things as they are; a leader that goes all the same is missed and
        // replaced by an election, as after a crash.
        let _ = self.replica.transfer_leadership(node);
    }

    pub(super) fn fail(&mut self, error: &StorageError) {
        self.failed = true;
        let deliveries = self.publisher.stale();
        self.deliver(deliveries);
        self.standing.leads = false;
        self.standing.in_touch = false;
        self.outputs
            .push(ShardOutput::Standing(self.standing.clone()));
        self.outputs.push(ShardOutput::Failed(code_of(error)));
    }
}

pub(super) fn open_replica(
    options: &ShardCoreOptions,
    now: MonotonicTime,
) -> Result<Replica, StorageError> {
    let storage = ReplicaStorage::open((options.disk)(), StorageOptions::default())?;
    let seed = options.seed ^ options.identity.0 ^ u64::from(options.shard.0);
    let mut replica = ReplicaOptions::new(options.identity, options.shard, seed);
    if !options.voters.is_empty() {
        replica = replica.with_initial_voters(VoterSet {
            voters: options.voters.iter().map(|node| node.0).collect(),
            learners: Vec::new(),
        });
    }
    Replica::open(replica, storage, now).map_err(|error| match error {
        OpenError::Storage(error) => error,
        // Votes of another identity: the same as damage, the node starts over.
        OpenError::ForeignStorage { .. } | OpenError::NodeIdMissing => {
            StorageError::corrupt("hard-state", 0, "the storage belongs to another identity")
        }
    })
}

fn standing_of(shard: ShardId, status: &ReplicaStatus, now: MonotonicTime) -> ShardStanding {
    let leads = status.role == Role::Leader;
    let heard = status.leader_contact;
    let heard_lately = heard.is_some_and(|heard| now.since(heard) < OUT_OF_TOUCH);
    let member = status.role != Role::Learner;
    // A replica that hears its leader and cannot store what it says would feed an old state.
    let stores = !status.storage_full;
    ShardStanding {
        shard,
        leads,
        leader: status.leader,
        term: status.term,
        // A leader that has not heard a quorum for this long may have a successor already.
        in_touch: heard_lately && member && stores && !status.removed,
        removed: status.removed,
        voters: status.voters.clone(),
        learners: status.learners.clone(),
        commit_index: status.commit_index,
    }
}

/// The result code of a storage error.
#[must_use]
pub fn code_of(error: &StorageError) -> ResultCode {
    match error {
        StorageError::Io { .. } | StorageError::Failed => ResultCode::DiskFailed,
        StorageError::Full { .. } => ResultCode::DiskFull,
        StorageError::Corrupt { .. } => ResultCode::LogCorrupt,
    }
}
