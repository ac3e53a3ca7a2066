//! First start: whether this empty node forms the cluster, joins one, or waits.

use std::collections::BTreeMap;

use millford_api::state::ControlMember;
use millford_core::{Duration, MonotonicTime, NodeId};

/// Age after which a seed's answer no longer counts as an answer.
pub const ANSWER_FRESH: Duration = Duration::from_millis(1500);

/// What a seed said about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct SeedAnswer {
    /// Who answered.
    pub member: ControlMember,
    /// 0: the seed holds no cluster state.
    pub cluster_id: u64,
}

/// What an empty node should do now.
#[derive(Clone, Debug, PartialEq)]
pub enum FormationDecision {
    /// Keep asking: a seed is silent, or a smaller identity forms.
    Wait,
    /// This node forms the cluster of these members.
    Form(Vec<ControlMember>),
    /// A seed holds state: join that cluster.
    Join {
        /// The cluster's identity.
        cluster_id: u64,
    },
}

/// Collects the seeds' answers while this node is empty.
///
/// Safety: a cluster forms only when every seed answers and all are empty. A node whose disk was
/// wiped, beside seeds that hold state, therefore never forms a second cluster; and since all
/// see the same identities, only the smallest one forms.
#[derive(Debug)]
pub struct Formation {
    own: ControlMember,
    seeds: Vec<String>,
    answers: BTreeMap<String, (MonotonicTime, SeedAnswer)>,
}

impl Formation {
    /// For the empty node `own`, which begins at the addresses `seeds`.
    #[must_use]
    pub fn new(own: ControlMember, seeds: Vec<String>) -> Self {
        Self {
            own,
            seeds,
            answers: BTreeMap::new(),
        }
    }

    /// A node at `address` answered.
    pub fn answered(&mut self, now: MonotonicTime, address: &str, answer: SeedAnswer) {
        self.answers.insert(address.to_owned(), (now, answer));
    }

    /// The connection to `address` was lost: its answer may be out of date.
    pub fn lost(&mut self, address: &str) {
        self.answers.remove(address);
    }

    /// What to do now.
    #[must_use]
    pub fn decide(&self, now: MonotonicTime) -> FormationDecision {
        if let Some(cluster_id) = self.formed_cluster(now) {
            return FormationDecision::Join { cluster_id };
        }
        let Some(members) = self.empty_members(now) else {
            return FormationDecision::Wait;
        };
        let smallest = members.keys().next().copied();
        if smallest != Some(NodeId(self.own.node_id)) {
            return FormationDecision::Wait;
        }
        FormationDecision::Form(members.into_values().collect())
    }

    fn formed_cluster(&self, now: MonotonicTime) -> Option<u64> {
        let mut fresh = self.fresh(now);
        fresh
            .find(|answer| answer.cluster_id != 0)
            .map(|answer| answer.cluster_id)
    }

    /// Every seed's member by identity, once all answered and all are empty.
    fn empty_members(&self, now: MonotonicTime) -> Option<BTreeMap<NodeId, ControlMember>> {
        let mut members = BTreeMap::new();
        for seed in &self.seeds {
            let member = self.member_at(now, seed)?;
            members.insert(NodeId(member.node_id), member);
        }
        // Two seeds with one identity would be one machine counted twice, or a copied disk.
        let distinct = members.len() == self.seeds.len();
        let own_included = members.contains_key(&NodeId(self.own.node_id));
        (distinct && own_included).then_some(members)
    }

    fn member_at(&self, now: MonotonicTime, seed: &str) -> Option<ControlMember> {
        if seed == self.own.internal_address {
            return Some(self.own.clone());
        }
        let (heard, answer) = self.answers.get(seed)?;
        let fresh = now.since(*heard) <= ANSWER_FRESH;
        fresh.then(|| answer.member.clone())
    }

    fn fresh(&self, now: MonotonicTime) -> impl Iterator<Item = &SeedAnswer> {
        self.answers
            .values()
            .filter(move |(heard, _)| now.since(*heard) <= ANSWER_FRESH)
            .map(|(_, answer)| answer)
    }
}
