//! The state machine that every replica of a shard runs over the committed commands.

use std::collections::BTreeMap;

use millford_api::command::{Command, PutConfig, SessionRecord, UpdateBackends, command};
use millford_api::state::{Backend, StateValue};
use millford_core::{ResultCode, ShardId};

use super::applied::Applied;
use super::catalogue::Catalogue;
use super::claim_table::ClaimTable;
use super::configuration;
use super::control_members;
use super::order_history::OrderHistory;
use super::placements;
use super::public_state::PublicState;
use super::session_registry::SessionRegistry;

/// State of one shard: what the feed carries, and what only the shard itself needs.
#[derive(Clone, Debug)]
pub struct ShardMachine {
    pub(super) shard: ShardId,
    pub(super) applied_index: u64,
    pub(super) applied_term: u64,
    pub(super) public: PublicState,
    pub(super) orders: OrderHistory,
    pub(super) claims: ClaimTable,
    pub(super) sessions: SessionRegistry,
    pub(super) catalogue: Catalogue,
    pub(super) shard_time_ms: u64,
    pub(super) config_source: Vec<u8>,
}

impl ShardMachine {
    /// An empty machine.
    #[must_use]
    pub fn new(shard: ShardId) -> Self {
        Self {
            shard,
            applied_index: 0,
            applied_term: 0,
            public: PublicState::default(),
            orders: OrderHistory::default(),
            claims: ClaimTable::default(),
            sessions: SessionRegistry::default(),
            catalogue: Catalogue::default(),
            shard_time_ms: 0,
            config_source: Vec::new(),
        }
    }

    /// Applies the committed command at `index`. An index that was applied already is a mistake of
    /// the caller: it changes nothing and results in [`ResultCode::ProtocolViolation`].
    pub fn apply(&mut self, index: u64, term: u64, command: &Command) -> Applied {
        if index <= self.applied_index {
            return Applied::code(ResultCode::ProtocolViolation);
        }
        self.skip(index, term);
        match &command.kind {
            Some(kind) => self.apply_kind(kind),
            None => Applied::code(ResultCode::ProtocolViolation),
        }
    }

    /// Records an entry without a command, such as the first one of a leader.
    pub fn skip(&mut self, index: u64, term: u64) {
        self.applied_index = self.applied_index.max(index);
        self.applied_term = self.applied_term.max(term);
    }

    /// The shard that this machine belongs to.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// Index of the last applied entry.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Term of the last applied entry.
    #[must_use]
    pub fn applied_term(&self) -> u64 {
        self.applied_term
    }

    /// What the feed carries, by key.
    #[must_use]
    pub fn public_state(&self) -> &BTreeMap<String, StateValue> {
        self.public.items()
    }

    /// Revision of the current configuration; 0 before the first order.
    #[must_use]
    pub fn revision(&self) -> u64 {
        configuration::current_revision(&self.public)
    }

    /// The configuration's document as the operator sent it; empty if it was sent in the product's
    /// own form.
    #[must_use]
    pub fn config_source(&self) -> &[u8] {
        &self.config_source
    }

    /// The open sessions by member.
    #[must_use]
    pub fn sessions(&self) -> &BTreeMap<String, SessionRecord> {
        self.sessions.sessions()
    }

    /// The open session of a member.
    #[must_use]
    pub fn session(&self, member: &str) -> Option<&SessionRecord> {
        self.sessions.sessions().get(member)
    }

    /// How long the shard's leaders have been leading, in milliseconds.
    #[must_use]
    pub fn shard_time_ms(&self) -> u64 {
        self.shard_time_ms
    }

    /// Number of retained claims.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// The command that brings a service's catalogue to what the registry reports, or nothing when
    /// they agree. Drain orders are no difference: the registry does not know of them.
    #[must_use]
    pub fn catalogue_difference(
        &self,
        service: &str,
        registry: &[Backend],
    ) -> Option<UpdateBackends> {
        let mut known = self.catalogue.declared(&self.public, service);
        let mut upserts = Vec::new();
        for backend in registry {
            if known.remove(&backend.id).as_ref() != Some(backend) {
                upserts.push(backend.clone());
            }
        }
        let removals: Vec<String> = known.into_keys().collect();
        if upserts.is_empty() && removals.is_empty() {
            return None;
        }
        Some(UpdateBackends {
            service: service.to_owned(),
            upserts,
            removals,
        })
    }

    fn apply_kind(&mut self, kind: &command::Kind) -> Applied {
        use command::Kind;
        match kind {
            Kind::PutConfig(order) => self.put_config(order),
            Kind::Claim(claim) => self.claims.claim(claim, self.shard_time_ms),
            Kind::ResolveClaim(resolve) => self.claims.resolve(resolve, self.shard_time_ms),
            Kind::OpenSession(open) => self.sessions.open(&mut self.public, open),
            Kind::CloseSession(close) => self.sessions.close(&mut self.public, close),
            Kind::UpdateBackends(update) => self.catalogue.update(&mut self.public, update),
            Kind::DrainBackend(order) => self.catalogue.drain(&mut self.public, order),
            Kind::SetPlacement(set) => placements::set(&mut self.public, set.placement.as_ref()),
            Kind::RegisterControlMember(register) => {
                control_members::register(&mut self.public, register.member.as_ref())
            }
            Kind::RemoveControlMember(remove) => {
                control_members::remove(&mut self.public, remove.node_id)
            }
            Kind::AdvanceClock(advance) => self.advance_clock(advance.elapsed_ms),
        }
    }

    /// The source is stored beside the items: nodes need it for nothing but reading it back.
    fn put_config(&mut self, order: &PutConfig) -> Applied {
        let applied = configuration::put(&mut self.public, &mut self.orders, order);
        if applied.is_accepted_order() {
            self.config_source.clone_from(&order.source);
        }
        applied
    }

    fn advance_clock(&mut self, elapsed_ms: u64) -> Applied {
        self.shard_time_ms = self.shard_time_ms.saturating_add(elapsed_ms);
        self.claims.drop_expired(self.shard_time_ms);
        Applied::code(ResultCode::Ok)
    }
}
