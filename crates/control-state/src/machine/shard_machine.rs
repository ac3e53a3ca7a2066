//! State machine to which every replica of a shard applies the committed commands.

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

/// State of one shard: the public state, which the feed sends to every node, and the state that
/// only the shard itself needs.
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
    /// Creates a machine to which no command has been applied.
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

    /// Applies the committed command at `index` of the log. An index that was already applied is a
    /// caller error: it changes nothing and results in [`ResultCode::ProtocolViolation`].
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

    /// Records a log entry without a command, such as the first entry of a leader's term.
    pub fn skip(&mut self, index: u64, term: u64) {
        self.applied_index = self.applied_index.max(index);
        self.applied_term = self.applied_term.max(term);
    }

    /// Returns the shard that this machine belongs to.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// Returns the log index of the last applied entry; 0 before the first.
    #[must_use]
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Returns the term of the last applied entry; 0 before the first.
    #[must_use]
    pub fn applied_term(&self) -> u64 {
        self.applied_term
    }

    /// Returns the items that the feed sends to every node, by key.
    #[must_use]
    pub fn public_state(&self) -> &BTreeMap<String, StateValue> {
        self.public.items()
    }

    /// Returns the revision of the current configuration; 0 before the first order.
    #[must_use]
    pub fn revision(&self) -> u64 {
        configuration::current_revision(&self.public)
    }

    /// Returns the source text of the configuration, as the operator sent it; empty if the operator
    /// sent the document in millford's own format.
    #[must_use]
    pub fn config_source(&self) -> &[u8] {
        &self.config_source
    }

    /// Returns the open sessions by member.
    #[must_use]
    pub fn sessions(&self) -> &BTreeMap<String, SessionRecord> {
        self.sessions.sessions()
    }

    /// Returns the open session of a member, if it has one.
    #[must_use]
    pub fn session(&self, member: &str) -> Option<&SessionRecord> {
        self.sessions.sessions().get(member)
    }

    /// Returns the total time for which the shard has had a leader, in milliseconds.
    #[must_use]
    pub fn shard_time_ms(&self) -> u64 {
        self.shard_time_ms
    }

    /// Returns the number of retained claims.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the command that updates a service's catalogue to the registry's list of backends,
    /// or `None` when they are equal. Drain orders are ignored, because the registry does not
    /// contain them.
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

    /// Applies a configuration order. The document's source text is stored outside the public
    /// state, because it is needed only to return it to operators.
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
