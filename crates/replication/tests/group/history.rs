//! What happened in a group, and the checks over it.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use millford_api::replication::{
    LogEntry, ReplicationMessage, VoteReply, VoteRequest, replication_message::Body,
};
use millford_core::{Duration, NodeId};
use millford_replication::{ConfirmedRead, Replica};

/// Digest of all entries up to one.
pub(crate) type Digest = u64;

/// Extends a digest by one entry.
pub(crate) fn extend(digest: Digest, entry: &LogEntry) -> Digest {
    let mut hasher = DefaultHasher::new();
    (digest, entry).hash(&mut hasher);
    hasher.finish()
}

/// A committed entry, as the first replica that delivered it saw it.
#[derive(Clone, Debug)]
struct CommittedEntry {
    term: u64,
    digest: Digest,
}

/// Facts of a run and the violations found so far.
#[derive(Debug, Default)]
pub(crate) struct History {
    leaders: BTreeMap<u64, NodeId>,
    votes: BTreeMap<(NodeId, u64), NodeId>,
    committed: BTreeMap<u64, CommittedEntry>,
    reads: BTreeMap<u64, u64>,
    pub(crate) confirmed_reads: u64,
    pub(crate) elections: u64,
    pub(crate) snapshots_received: u64,
    /// After all faults: time until a leader had committed an entry of its own term.
    pub(crate) time_to_leader: Option<Duration>,
    /// After all faults: time until the group was complete and all voters had applied a new entry.
    pub(crate) time_to_recovery: Option<Duration>,
    pub(crate) violations: Vec<String>,
}

impl History {
    /// The facts that later violations are judged by.
    pub(crate) fn facts(&self) -> String {
        format!("{:?} {:?} {:?}", self.leaders, self.votes, self.committed)
    }

    fn violate(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Highest index that any replica delivered as committed: what clients may have seen.
    pub(crate) fn committed_index(&self) -> u64 {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// Election safety: at most one leader in a term.
    pub(crate) fn record_leader(&mut self, node: NodeId, term: u64) {
        let known = *self.leaders.entry(term).or_insert(node);
        if known != node {
            self.violate(format!("leaders {known} and {node} in term {term}"));
        }
    }

    /// Leader completeness: a new leader holds every committed entry.
    pub(crate) fn check_new_leader(&mut self, node: NodeId, replica: &Replica) {
        self.elections += 1;
        let storage = replica.storage();
        let covered = storage.snapshot().map_or(0, |snapshot| snapshot.meta.index);
        let missing = self.committed.iter().find(|(index, entry)| {
            **index > covered && storage.term_at(**index) != Some(entry.term)
        });
        if let Some((index, _)) = missing.map(|(index, entry)| (*index, entry.term)) {
            self.violate(format!("leader {node} lacks committed entry {index}"));
        }
    }

    /// Committed entries never change, on any replica.
    pub(crate) fn record_committed(&mut self, node: NodeId, entry: &LogEntry, digest: Digest) {
        let fact = CommittedEntry {
            term: entry.term,
            digest,
        };
        let known = self.committed.entry(entry.index).or_insert(fact);
        if known.digest != digest {
            self.violate(format!("{node} committed another entry {}", entry.index));
        }
    }

    /// A snapshot is the state of the committed entries.
    pub(crate) fn record_restored(&mut self, node: NodeId, index: u64, digest: Digest) {
        let known = self.committed.get(&index).map(|entry| entry.digest);
        if known.is_some_and(|known| known != digest) {
            self.violate(format!("{node} restored another state of {index}"));
        }
    }

    /// A read must see everything that was committed when it was requested.
    pub(crate) fn record_read_requested(&mut self, request: u64) {
        self.reads.insert(request, self.committed_index());
    }

    pub(crate) fn record_read_confirmed(
        &mut self,
        node: NodeId,
        read: &ConfirmedRead,
        applied: u64,
    ) {
        self.confirmed_reads += 1;
        let required = self.reads.get(&read.request).copied().unwrap_or(u64::MAX);
        if read.index < required || applied < read.index {
            let index = read.index;
            self.violate(format!(
                "{node} confirmed a read at {index}, required {required}"
            ));
        }
    }

    /// One vote per identity and term, judged by what leaves a machine.
    pub(crate) fn record_sent(&mut self, message: &ReplicationMessage) {
        let node = NodeId(message.from);
        let candidate = match &message.body {
            Some(Body::VoteRequest(VoteRequest {
                pre_vote: false, ..
            })) => node,
            Some(Body::VoteReply(VoteReply {
                pre_vote: false,
                granted: true,
                ..
            })) => NodeId(message.to),
            _ => return,
        };
        let known = *self.votes.entry((node, message.term)).or_insert(candidate);
        if known != candidate {
            let term = message.term;
            self.violate(format!(
                "{node} voted for {known} and {candidate} in term {term}"
            ));
        }
    }

    /// Log matching: two logs that agree on an entry's term agree on everything before it.
    pub(crate) fn check_logs_match(&mut self, left: &Replica, right: &Replica) {
        let (left, right) = (left.storage(), right.storage());
        let mut index = left.last_index().min(right.last_index());
        let first = left.first_index().max(right.first_index());
        while index >= first && left.term_at(index) != right.term_at(index) {
            index -= 1;
        }
        let differing = (first..=index).find(|index| left.entry(*index) != right.entry(*index));
        if let Some(differing) = differing {
            self.violate(format!("logs agree at {index} and differ at {differing}"));
        }
    }
}
