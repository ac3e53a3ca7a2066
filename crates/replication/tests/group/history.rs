//! Events of a run and the safety checks on them.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use millford_api::replication::{
    LogEntry, ReplicationMessage, VoteReply, VoteRequest, replication_message::Body,
};
use millford_core::{Duration, NodeId};
use millford_replication::{ConfirmedRead, Replica};

/// Hash over all entries up to an index.
pub(crate) type Digest = u64;

/// Returns the digest up to `entry`, given the one up to the entry before it.
pub(crate) fn extend(digest: Digest, entry: &LogEntry) -> Digest {
    let mut hasher = DefaultHasher::new();
    (digest, entry).hash(&mut hasher);
    hasher.finish()
}

/// Term and digest of a committed entry, from the first replica that delivered it.
#[derive(Clone, Debug)]
struct CommittedEntry {
    term: u64,
    digest: Digest,
}

/// Records of a run and the violations found so far.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Leader of each term.
    leaders: BTreeMap<u64, NodeId>,
    /// Candidate that each node voted for in each term.
    votes: BTreeMap<(NodeId, u64), NodeId>,
    /// Committed entries by index.
    committed: BTreeMap<u64, CommittedEntry>,
    /// Committed index at the request of each read, by the read's number.
    reads: BTreeMap<u64, u64>,
    pub(crate) confirmed_reads: u64,
    pub(crate) elections: u64,
    /// Snapshots that replaced a machine's state, read from disk or received from a leader.
    pub(crate) snapshots_received: u64,
    /// Time from the end of all faults until a leader had committed an entry of its own term.
    pub(crate) time_to_leader: Option<Duration>,
    /// Time from the end of all faults until the group was complete and all voters had applied a
    /// new entry.
    pub(crate) time_to_recovery: Option<Duration>,
    pub(crate) violations: Vec<String>,
}

impl History {
    /// The records that later events are checked against, as text.
    pub(crate) fn safety_records(&self) -> String {
        format!("{:?} {:?} {:?}", self.leaders, self.votes, self.committed)
    }

    fn record_violation(&mut self, text: String) {
        self.violations.push(text);
    }

    /// Highest index that any replica has delivered as committed, so that clients may have seen it.
    pub(crate) fn committed_index(&self) -> u64 {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// Records a leader and checks election safety: at most one leader per term.
    pub(crate) fn record_leader(&mut self, node: NodeId, term: u64) {
        let known = *self.leaders.entry(term).or_insert(node);
        if known != node {
            self.record_violation(format!("leaders {known} and {node} in term {term}"));
        }
    }

    /// Checks leader completeness: a new leader holds every committed entry.
    pub(crate) fn check_new_leader(&mut self, node: NodeId, replica: &Replica) {
        self.elections += 1;
        let storage = replica.storage();
        let covered = storage.snapshot().map_or(0, |snapshot| snapshot.meta.index);
        let missing = self.committed.iter().find(|(index, entry)| {
            **index > covered && storage.term_at(**index) != Some(entry.term)
        });
        if let Some((index, _)) = missing.map(|(index, entry)| (*index, entry.term)) {
            self.record_violation(format!("leader {node} lacks committed entry {index}"));
        }
    }

    /// Records a committed entry and checks state machine safety: every replica delivers the same
    /// entry at an index, after the same entries.
    pub(crate) fn record_committed(&mut self, node: NodeId, entry: &LogEntry, digest: Digest) {
        let committed = CommittedEntry {
            term: entry.term,
            digest,
        };
        let known = self.committed.entry(entry.index).or_insert(committed);
        if known.digest != digest {
            self.record_violation(format!("{node} committed another entry {}", entry.index));
        }
    }

    /// Checks that a restored snapshot is the state of the committed entries up to its index.
    pub(crate) fn record_restored(&mut self, node: NodeId, index: u64, digest: Digest) {
        let known = self.committed.get(&index).map(|entry| entry.digest);
        if known.is_some_and(|known| known != digest) {
            self.record_violation(format!("{node} restored another state of {index}"));
        }
    }

    /// Records the committed index that the read must include.
    pub(crate) fn record_read_requested(&mut self, request: u64) {
        self.reads.insert(request, self.committed_index());
    }

    /// Checks that a confirmed read includes every entry that was committed when it was requested,
    /// and that the node has applied the read's index.
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
            self.record_violation(format!(
                "{node} confirmed a read at {index}, required {required}"
            ));
        }
    }

    /// Checks that each identity votes for at most one candidate per term, by the messages it
    /// sends.
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
            self.record_violation(format!(
                "{node} voted for {known} and {candidate} in term {term}"
            ));
        }
    }

    /// Checks log matching: if two logs have the same term at an index, all entries up to that
    /// index are equal.
    pub(crate) fn check_logs_match(&mut self, left: &Replica, right: &Replica) {
        let (left, right) = (left.storage(), right.storage());
        let mut index = left.last_index().min(right.last_index());
        let first = left.first_index().max(right.first_index());
        while index >= first && left.term_at(index) != right.term_at(index) {
            index -= 1;
        }
        let differing = (first..=index).find(|index| left.entry(*index) != right.entry(*index));
        if let Some(differing) = differing {
            self.record_violation(format!("logs agree at {index} and differ at {differing}"));
        }
    }
}
