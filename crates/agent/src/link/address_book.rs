//! Control addresses that the agent knows, and the order in which it tries them.

use std::collections::{BTreeSet, VecDeque};

use millford_api::state::ControlMember;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// Present members, and the addresses to begin with as a last resort.
#[derive(Clone, Debug)]
pub struct AddressBook {
    beginnings: Vec<String>,
    members: Vec<ControlMember>,
    round: VecDeque<String>,
    random: SmallRng,
}

impl AddressBook {
    /// A book that knows only where to begin.
    #[must_use]
    pub fn new(beginnings: Vec<String>, random_seed: u64) -> Self {
        let mut book = Self {
            beginnings,
            members: Vec::new(),
            round: VecDeque::new(),
            random: SmallRng::seed_from_u64(random_seed),
        };
        book.begin_round(None);
        book
    }

    /// Takes the list of present members; returns whether it changed.
    pub fn learn(&mut self, members: &[ControlMember]) -> bool {
        if members.is_empty() || members == self.members {
            return false;
        }
        self.members = members.to_vec();
        true
    }

    /// The present members, as last learned.
    #[must_use]
    pub fn members(&self) -> &[ControlMember] {
        &self.members
    }

    /// The next address of this round, or none when every address was tried.
    pub fn next_address(&mut self) -> Option<String> {
        self.round.pop_front()
    }

    /// Whether every address of this round was tried.
    #[must_use]
    pub fn round_ended(&self) -> bool {
        self.round.is_empty()
    }

    /// Starts a round over every known address, in random order, `present` last.
    pub fn begin_round(&mut self, present: Option<&str>) {
        let mut addresses = self.addresses();
        addresses.shuffle(&mut self.random);
        // Members come before addresses that may be out of date.
        let members: BTreeSet<&str> = self.member_addresses().collect();
        addresses.sort_by_key(|address| {
            let is_present = Some(address.as_str()) == present;
            (is_present, !members.contains(address.as_str()))
        });
        self.round = addresses.into();
    }

    fn member_addresses(&self) -> impl Iterator<Item = &str> {
        let members = self.members.iter();
        members.map(|member| member.internal_address.as_str())
    }

    fn addresses(&self) -> Vec<String> {
        let beginnings = self.beginnings.iter().map(String::as_str);
        let known: BTreeSet<&str> = self.member_addresses().chain(beginnings).collect();
        known.into_iter().map(str::to_owned).collect()
    }
}
