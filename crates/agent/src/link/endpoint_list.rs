//! Control-plane endpoints that the agent knows, and the order in which it tries them.

use std::collections::{BTreeSet, VecDeque};

use millford_api::state::ControlMember;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// The present control members, and the seed addresses as a last resort.
///
/// Endpoints are tried in passes: one pass visits each known endpoint once, in random order.
#[derive(Clone, Debug)]
pub struct EndpointList {
    seeds: Vec<String>,
    members: Vec<ControlMember>,
    /// Endpoints that the present pass has not tried yet, the next one first.
    untried: VecDeque<String>,
    random: SmallRng,
}

impl EndpointList {
    /// A list of the seeds alone, at the start of its first pass. `random_seed` determines the order
    /// of all passes.
    #[must_use]
    pub fn new(seeds: Vec<String>, random_seed: u64) -> Self {
        let mut endpoints = Self {
            seeds,
            members: Vec::new(),
            untried: VecDeque::new(),
            random: SmallRng::seed_from_u64(random_seed),
        };
        endpoints.start_pass(None);
        endpoints
    }

    /// Replaces the members; returns whether they changed. An empty list is ignored: it comes from a
    /// control node that does not know the membership yet.
    pub fn update_members(&mut self, members: &[ControlMember]) -> bool {
        if members.is_empty() || members == self.members {
            return false;
        }
        self.members = members.to_vec();
        true
    }

    /// The next endpoint of this pass, or none when every endpoint was tried.
    pub fn next_endpoint(&mut self) -> Option<String> {
        self.untried.pop_front()
    }

    /// Whether this pass has tried every endpoint.
    #[must_use]
    pub fn is_pass_complete(&self) -> bool {
        self.untried.is_empty()
    }

    /// Starts a pass over every known endpoint, in random order, with `current` last.
    pub fn start_pass(&mut self, current: Option<&str>) {
        let mut endpoints = self.known_endpoints();
        endpoints.shuffle(&mut self.random);
        // Members come before seeds, which may be out of date.
        let members: BTreeSet<&str> = self.member_endpoints().collect();
        endpoints.sort_by_key(|endpoint| {
            let is_current = Some(endpoint.as_str()) == current;
            (is_current, !members.contains(endpoint.as_str()))
        });
        self.untried = endpoints.into();
    }

    fn member_endpoints(&self) -> impl Iterator<Item = &str> {
        let members = self.members.iter();
        members.map(|member| member.internal_address.as_str())
    }

    /// Sorted and without duplicates, so that the shuffle depends on the random seed only.
    fn known_endpoints(&self) -> Vec<String> {
        let seeds = self.seeds.iter().map(String::as_str);
        let known: BTreeSet<&str> = self.member_endpoints().chain(seeds).collect();
        known.into_iter().map(str::to_owned).collect()
    }
}
