//! First start: whether this empty node forms the cluster, joins one, or waits.

use std::collections::BTreeMap;

use millford_api::state::ControlMember;
use millford_core::{Duration, MonotonicTime, NodeId};

/// Age after which a seed's response no longer counts.
pub const RESPONSE_VALIDITY: Duration = Duration::from_millis(1500);

/// What a seed reported about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct SeedResponse {
    /// The node that responded.
    pub member: ControlMember,
    /// Identity of the cluster that the seed belongs to; 0: the seed has no cluster state.
    pub cluster_id: u64,
}

/// What an empty node should do now.
#[derive(Clone, Debug, PartialEq)]
pub enum FormationDecision {
    /// Keep sending requests: a seed has not responded, or a smaller identity forms.
    Wait,
    /// This node forms the cluster of these members.
    Form(Vec<ControlMember>),
    /// A seed has cluster state: join that cluster.
    Join {
        /// The cluster's identity.
        cluster_id: u64,
    },
}

#[derive(Clone, Debug)]
struct ReceivedResponse {
    received_at: MonotonicTime,
    response: SeedResponse,
}

impl ReceivedResponse {
    fn is_valid(&self, now: MonotonicTime) -> bool {
        now.since(self.received_at) <= RESPONSE_VALIDITY
    }
}

/// Collects the seeds' responses while this node is empty.
///
/// Safety: a cluster forms only when every seed responds and all are empty. A node whose disk was
/// wiped, beside seeds that have state, therefore never forms a second cluster; and since all
/// see the same identities, only the smallest one forms.
#[derive(Debug)]
pub struct Formation {
    own: ControlMember,
    seeds: Vec<String>,
    responses: BTreeMap<String, ReceivedResponse>,
}

impl Formation {
    /// For the empty node `own`, which is configured with the addresses `seeds`.
    #[must_use]
    pub fn new(own: ControlMember, seeds: Vec<String>) -> Self {
        Self {
            own,
            seeds,
            responses: BTreeMap::new(),
        }
    }

    /// The node at `address` responded.
    pub fn record_response(&mut self, now: MonotonicTime, address: &str, response: SeedResponse) {
        let received = ReceivedResponse {
            received_at: now,
            response,
        };
        self.responses.insert(address.to_owned(), received);
    }

    /// The connection to `address` was lost: its response may be out of date.
    pub fn record_disconnect(&mut self, address: &str) {
        self.responses.remove(address);
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

    /// The cluster of the first seed, by address, that belongs to one.
    fn formed_cluster(&self, now: MonotonicTime) -> Option<u64> {
        let valid = self.responses.values().filter(|known| known.is_valid(now));
        valid
            .map(|known| known.response.cluster_id)
            .find(|cluster_id| *cluster_id != 0)
    }

    /// Every seed's member by identity, once all responded and all are empty.
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
        let known = self.responses.get(seed)?;
        known.is_valid(now).then(|| known.response.member.clone())
    }
}
