//! First start of a node without cluster state: it forms a cluster, joins one, or waits.

use std::collections::BTreeMap;

use millford_api::state::ControlMember;
use millford_core::{Duration, MonotonicTime, NodeId};

/// Age after which a seed's response is ignored.
pub const RESPONSE_VALIDITY: Duration = Duration::from_millis(1500);

/// A seed's report about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct SeedResponse {
    /// Identity and addresses of the seed.
    pub member: ControlMember,
    /// Id of the cluster that the seed belongs to; 0 if the seed has no cluster state.
    pub cluster_id: u64,
}

/// Next step of a node without cluster state.
#[derive(Clone, Debug, PartialEq)]
pub enum FormationDecision {
    /// Wait and keep querying the seeds: one has not responded, their identities are not distinct or do
    /// not include this node, or another node has the smallest identity and forms the cluster.
    Wait,
    /// Form the cluster with these members, which include this node.
    Form(Vec<ControlMember>),
    /// Join the cluster of a seed that has cluster state.
    Join {
        /// Id of the seed's cluster, never 0.
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

/// Collects the seeds' responses while this node has no cluster state.
///
/// Safety: a cluster is formed only if every seed responds and none has cluster state. A node whose disk
/// was wiped therefore never forms a second cluster while other seeds have state. Since all seeds receive the
/// same identities, only the node with the smallest one forms the cluster.
#[derive(Debug)]
pub struct Formation {
    own: ControlMember,
    seeds: Vec<String>,
    responses: BTreeMap<String, ReceivedResponse>,
}

impl Formation {
    /// Creates the state of the node `own`, which has no cluster state and is configured with the internal
    /// addresses `seeds`.
    #[must_use]
    pub fn new(own: ControlMember, seeds: Vec<String>) -> Self {
        Self {
            own,
            seeds,
            responses: BTreeMap::new(),
        }
    }

    /// Records the response of the seed at `address`.
    pub fn record_response(&mut self, now: MonotonicTime, address: &str, response: SeedResponse) {
        let received = ReceivedResponse {
            received_at: now,
            response,
        };
        self.responses.insert(address.to_owned(), received);
    }

    /// Discards the response of the seed at `address`, which may be outdated because the connection was
    /// lost.
    pub fn record_disconnect(&mut self, address: &str) {
        self.responses.remove(address);
    }

    /// Decides the next step from the responses that are valid at `now`.
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

    /// Returns the cluster id of the first seed, in the order of addresses, that belongs to a cluster.
    fn formed_cluster(&self, now: MonotonicTime) -> Option<u64> {
        let valid = self.responses.values().filter(|known| known.is_valid(now));
        valid
            .map(|known| known.response.cluster_id)
            .find(|cluster_id| *cluster_id != 0)
    }

    /// Returns the seeds by identity. Returns `None` unless every seed has a valid response, their
    /// identities differ and this node is one of them.
    fn empty_members(&self, now: MonotonicTime) -> Option<BTreeMap<NodeId, ControlMember>> {
        let mut members = BTreeMap::new();
        for seed in &self.seeds {
            let member = self.member_at(now, seed)?;
            members.insert(NodeId(member.node_id), member);
        }
        // Two seeds with the same identity are one node that is listed twice, or two nodes with a copied disk.
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
