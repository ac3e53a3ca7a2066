//! Regular duties: expiry of sessions, repair, the shard's clock, catalogue.

use millford_api::command::{AdvanceClock, CloseSession, Command, RemoveControlMember, command};
use millford_core::{Duration, MonotonicTime, NodeId, ShardId};
use millford_replication::{PeerStatus, ReplicaStatus, VoterChange};

use super::core::ShardCore;
use super::output::ShardOutput;
use super::proposals::Purpose;
use super::repair::{GroupView, RepairStep, ReplicaView};
use crate::node_output::NodeNote;
use crate::timing::{CLOCK_PERIOD, PROGRESS_PERIOD};

/// Period at which the gateway hears of the replica although nothing changed.
const STANDING_PERIOD: Duration = Duration::from_millis(250);

/// Shortest time between a change that was refused and the next try.
const REPAIR_PERIOD: Duration = Duration::from_millis(100);

/// A longer time between two ticks counts as this long for elections.
const LONGEST_GAP: Duration = Duration::from_millis(100);

/// When the regular duties are due.
#[derive(Debug)]
pub struct Upkeep {
    last_tick: MonotonicTime,
    next_standing: MonotonicTime,
    next_progress: MonotonicTime,
    next_clock: MonotonicTime,
    next_repair: MonotonicTime,
    /// Since when each control node is not heard from.
    pub(super) silent_since: std::collections::BTreeMap<NodeId, MonotonicTime>,
}

impl Upkeep {
    /// Duties of a core that starts now.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            last_tick: now,
            next_standing: now,
            next_progress: now + PROGRESS_PERIOD,
            next_clock: now + CLOCK_PERIOD,
            next_repair: now,
            silent_since: std::collections::BTreeMap::new(),
        }
    }

    /// The replica leads from now on.
    pub fn lead(&mut self, now: MonotonicTime) {
        self.next_clock = now + CLOCK_PERIOD;
        self.next_repair = now;
        self.silent_since.clear();
    }

    /// The time since the last tick in which the core did not run: its thread waited for a processor
    /// or the disk. Short gaps are none, so that a core that is always late still campaigns.
    pub fn lost_time(&mut self, now: MonotonicTime) -> Option<Duration> {
        let previous = std::mem::replace(&mut self.last_tick, now);
        let gap = now.since(previous);
        (gap > LONGEST_GAP).then(|| gap - LONGEST_GAP)
    }

    /// Whether the gateway is to hear of the replica.
    pub fn standing_due(&mut self, now: MonotonicTime) -> bool {
        is_due(&mut self.next_standing, now, STANDING_PERIOD)
    }

    /// Whether the agents are to get a confirmation.
    pub fn progress_due(&mut self, now: MonotonicTime) -> bool {
        is_due(&mut self.next_progress, now, PROGRESS_PERIOD)
    }
}

fn is_due(next: &mut MonotonicTime, now: MonotonicTime, period: Duration) -> bool {
    if now < *next {
        return false;
    }
    *next = now + period;
    true
}

impl ShardCore {
    pub(super) fn tick(&mut self, now: MonotonicTime) {
        if let Some(lost) = self.upkeep.lost_time(now) {
            self.replica.defer_election_deadline(now, lost);
        }
        self.replica.tick(now);
        self.tick_subscriptions(now);
        self.confirm_progress(now);
        if !self.leads() {
            return;
        }
        self.expire_sessions(now);
        self.update_catalogue();
        self.repair_group(now);
        self.remove_dead_members(now);
        self.advance_clock(now);
        self.tick_quota(now);
        self.tick_placement(now);
    }

    fn expire_sessions(&mut self, now: MonotonicTime) {
        for expired in self.sessions.take_expired(now) {
            let close = CloseSession {
                member: expired.member.clone(),
                epoch: expired.epoch,
                expired: true,
            };
            let command = command_of(command::Kind::CloseSession(close));
            if !self.propose(&command, Purpose::Expiry) {
                self.sessions.reopen_expired(&expired.member, expired.epoch);
            }
        }
    }

    /// Replaces voters that are lost, one change at a time.
    fn repair_group(&mut self, now: MonotonicTime) {
        if now < self.upkeep.next_repair {
            return;
        }
        let status = self.replica.status();
        if !status.configuration_committed {
            return;
        }
        let own = self.options.identity;
        let group = group_of(own, &status, now);
        let step = self.repair.decide(now, own, &group, &self.members);
        if let Some(step) = step {
            self.change_group(now, step);
        }
    }

    fn change_group(&mut self, now: MonotonicTime, step: RepairStep) {
        let (change, name, node) = match step {
            RepairStep::AddLearner(node) => (VoterChange::AddLearner(node), "add learner", node),
            RepairStep::Remove(node) => (VoterChange::Remove(node), "remove", node),
            RepairStep::Promote(node) => (VoterChange::Promote(node), "promote", node),
        };
        if self.replica.change_voters(change).is_err() {
            // Decided again a little later, on what then is.
            self.upkeep.next_repair = now + REPAIR_PERIOD;
            return;
        }
        let note = NodeNote::VotersChange {
            shard: self.options.shard,
            change: name,
            node,
        };
        self.outputs.push(ShardOutput::Note(note));
    }

    /// The configuration shard's leader takes control nodes off the list that are silent and whose
    /// replica of this shard is replaced already.
    fn remove_dead_members(&mut self, now: MonotonicTime) {
        if self.options.shard != ShardId::CONFIGURATION {
            return;
        }
        let status = self.replica.status();
        let members = self.members.members.clone();
        for (node, standing) in members {
            let silent = standing.registered && !standing.connected;
            if !silent {
                self.upkeep.silent_since.remove(&node);
                continue;
            }
            let since = *self.upkeep.silent_since.entry(node).or_insert(now);
            let replaced = !status.voters.contains(&node) && !status.learners.contains(&node);
            let overdue = now.since(since) >= self.repair.replace_after;
            if replaced && overdue {
                self.upkeep.silent_since.remove(&node);
                self.remove_member(node);
            }
        }
    }

    fn remove_member(&mut self, node: NodeId) {
        let remove = RemoveControlMember { node_id: node.0 };
        let command = command_of(command::Kind::RemoveControlMember(remove));
        if self.propose(&command, Purpose::Upkeep) {
            let note = NodeNote::MemberRemoved(node);
            self.outputs.push(ShardOutput::Note(note));
        }
    }

    /// Lets the shard's own time advance, by which old claims are dropped.
    fn advance_clock(&mut self, now: MonotonicTime) {
        if !is_due(&mut self.upkeep.next_clock, now, CLOCK_PERIOD) {
            return;
        }
        let period = u64::try_from(CLOCK_PERIOD.as_millis()).unwrap_or(u64::MAX);
        let advance = AdvanceClock { elapsed_ms: period };
        let command = command_of(command::Kind::AdvanceClock(advance));
        self.propose(&command, Purpose::Upkeep);
    }
}

/// A command of this kind.
#[must_use]
pub fn command_of(kind: command::Kind) -> Command {
    Command { kind: Some(kind) }
}

fn group_of(own: NodeId, status: &ReplicaStatus, now: MonotonicTime) -> GroupView {
    let view_of = |node: &NodeId| {
        let peer = status.peers.iter().find(|peer| peer.node == *node);
        replica_view(own, *node, peer, now)
    };
    GroupView {
        voters: status.voters.iter().map(view_of).collect(),
        learners: status.learners.iter().map(view_of).collect(),
    }
}

fn replica_view(
    own: NodeId,
    node: NodeId,
    peer: Option<&PeerStatus>,
    now: MonotonicTime,
) -> ReplicaView {
    let heard = peer.map_or(now, |peer| peer.last_heard);
    ReplicaView {
        node,
        last_heard: heard,
        caught_up: node == own || peer.is_some_and(|peer| peer.caught_up),
    }
}
