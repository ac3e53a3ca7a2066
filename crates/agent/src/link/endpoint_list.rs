//! Known control-plane endpoints, and the order in which they are tried.

use std::collections::{BTreeSet, VecDeque};

use millford_api::state::ControlMember;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// The current control members and, as a last resort, the seed addresses.
///
/// Endpoints are tried in passes: one pass visits each known endpoint once, in random order.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Addresses known at the start: the seeds of that time and the members saved by an earlier run. They stay known,
    /// since the saved members may be newer than any seeds.
    initial: Vec<String>,
    /// Seeds as last read.
    seeds: Vec<String>,
    members: Vec<ControlMember>,
    /// Endpoints that have not been tried in the current pass, the next one first.
    untried: VecDeque<String>,
    random: SmallRng,
}

impl EndpointList {
    /// Creates a list that contains only the `initial` addresses and starts its first pass. `random_seed`
    /// determines the order of all passes.
    #[must_use]
    pub fn new(initial: Vec<String>, random_seed: u64) -> Self {
        let mut endpoints = Self {
            seeds: initial.clone(),
            initial,
            members: Vec::new(),
            untried: VecDeque::new(),
            random: SmallRng::seed_from_u64(random_seed),
        };
        endpoints.start_pass(None);
        endpoints
    }

    /// Replaces the members. Returns whether they changed. An empty list is ignored, because it
    /// comes from a control node that has not received the membership yet.
    pub fn update_members(&mut self, members: &[ControlMember]) -> bool {
        if members.is_empty() || members == self.members {
            return false;
        }
        self.members = members.to_vec();
        true
    }

    /// Replaces the seeds and starts a pass, with the addresses that were unknown before first and `current` last.
    /// Returns whether the seeds changed. An empty list is ignored.
    pub fn update_seeds(&mut self, seeds: Vec<String>, current: Option<&str>) -> bool {
        if seeds.is_empty() || seeds == self.seeds {
            return false;
        }
        let known: BTreeSet<String> = self.known_endpoints().into_iter().collect();
        self.seeds = seeds;
        self.start_pass(current);
        let endpoints = self.untried.make_contiguous();
        endpoints.sort_by_key(|endpoint| known.contains(endpoint));
        true
    }

    /// Returns the next endpoint of this pass, or `None` if every endpoint has been tried.
    pub fn next_endpoint(&mut self) -> Option<String> {
        self.untried.pop_front()
    }

    /// Returns whether every endpoint has been tried in this pass.
    #[must_use]
    pub fn is_pass_complete(&self) -> bool {
        self.untried.is_empty()
    }

    /// Starts a pass over every known endpoint in random order: members first, then seeds, and
    /// `current` last.
    pub fn start_pass(&mut self, current: Option<&str>) {
        let mut endpoints = self.known_endpoints();
        endpoints.shuffle(&mut self.random);
        // Seeds come after members because they may be out of date.
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

    /// Returns all endpoints, sorted and without duplicates, so that the order after shuffling
    /// depends only on the random seed.
    fn known_endpoints(&self) -> Vec<String> {
        let others = self.seeds.iter().chain(&self.initial);
        let others = others.map(String::as_str);
        let known: BTreeSet<&str> = self.member_endpoints().chain(others).collect();
        known.into_iter().map(str::to_owned).collect()
    }
}
