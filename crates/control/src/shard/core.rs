//! The core of one shard: routes inputs to the parts that own the state, and the outputs of the
//! parts to the node.
//!
//! No part depends on another part or on the core. The order in which the core calls them is part
//! of the shard's behaviour: outputs leave in that order.

use millford_api::command::{
    AdvanceClock, CommandResult, RemoveControlMember, command, command_result,
};
use millford_api::internal::{QuotaRequest, ShardRequest, Subscribe, shard_reply, shard_request};
use millford_api::replication::LogEntry;
use millford_api::state::StateItem;
use millford_control_state::ShardMachine;
use millford_core::{MonotonicTime, NodeId, ResultCode, ShardId};
use millford_feed::FeedPosition;
use millford_replication::{Ready, ReplicaStatus, RestoredSnapshot};
use millford_storage::StorageError;

use super::applied_state::{AppliedCommand, AppliedState};
use super::catalogue_reconciler::CatalogueReconciler;
use super::feed_service::{FeedService, SubscriptionStep};
use super::group_repair::GroupRepair;
use super::input::{CorrelationId, ShardInput};
use super::maintenance::MaintenanceSchedule;
use super::options::ShardCoreOptions;
use super::output::ShardOutput;
use super::placement_controller::PlacementController;
use super::proposals::Purpose;
use super::quota_service::{self, QuotaService};
use super::reads::{ReadPurpose, Reads};
use super::repair::{RepairPolicy, RepairStep};
use super::replica_status::{ShardReplicaStatus, StatusReporter};
use super::replies::{self, Replies};
use super::session_service::SessionService;
use super::shard_replica::ShardReplica;
use crate::commands::command_of;
use crate::link::LinkId;
use crate::node_event::NodeEvent;
use crate::storage_code::storage_code;
use crate::timing::CLOCK_PERIOD;

/// The core of one shard on this node.
///
/// Inputs go to [`ShardCore::handle`]. The next [`ShardCore::flush`] returns their outputs, after
/// one fsync for all of them.
pub struct ShardCore {
    shard: ShardId,
    replica: ShardReplica,
    state: AppliedState,
    feeds: FeedService,
    reads: Reads,
    sessions: SessionService,
    repair: GroupRepair,
    catalogue: CatalogueReconciler,
    quota: QuotaService,
    placement: PlacementController,
    maintenance: MaintenanceSchedule,
    status: StatusReporter,
    outputs: Vec<ShardOutput>,
    failed: bool,
}

impl ShardCore {
    /// Opens the shard's storage and its replica.
    ///
    /// # Errors
    /// The storage cannot be opened. After [`StorageError::Corrupt`] the node must start over under
    /// a new identity.
    pub fn open(options: ShardCoreOptions, now: MonotonicTime) -> Result<Self, StorageError> {
        let shard = options.shard;
        let layout = options.layout;
        let policy = RepairPolicy {
            replace_after: options.replace_after,
            voters: options.voters_per_shard,
        };
        Ok(Self {
            shard,
            replica: ShardReplica::open(options, now)?,
            state: AppliedState::new(shard),
            feeds: FeedService::new(shard),
            reads: Reads::default(),
            sessions: SessionService::default(),
            repair: GroupRepair::new(policy, now),
            catalogue: CatalogueReconciler::new(shard, layout),
            quota: QuotaService::new(shard),
            placement: PlacementController::new(shard),
            maintenance: MaintenanceSchedule::new(now),
            status: StatusReporter::new(shard, now),
            outputs: Vec::new(),
            failed: false,
        })
    }

    /// Handles one input. A core that failed ignores its inputs.
    pub fn handle(&mut self, now: MonotonicTime, input: ShardInput) {
        if self.failed {
            return;
        }
        match input {
            ShardInput::Tick => self.tick(now),
            ShardInput::Replication(message) => self.replica.step(now, message),
            ShardInput::Request {
                correlation_id,
                request,
            } => self.handle_request(now, correlation_id, request),
            ShardInput::Quota {
                correlation_id,
                request,
            } => self.handle_quota_request(now, correlation_id, &request),
            ShardInput::Load(report) => {
                if self.status.last().leads {
                    self.placement.observe(now, &report);
                }
            }
            ShardInput::Subscribe {
                subscriber,
                subscribe,
            } => self.subscribe(now, subscriber, subscribe),
            ShardInput::Unsubscribe { subscriber } => {
                self.close_feed(subscriber);
                self.feeds.withdraw(subscriber);
            }
            ShardInput::LeaderIndex { read, index } => match index {
                Some(index) => self.reads.confirmed(read, index),
                None => self.fail_read(now, read),
            },
            ShardInput::Registry(view) => self.catalogue.set_registry(view),
            ShardInput::Configuration(items) => self.apply_configuration(now, &items),
            ShardInput::Members(view) => self.repair.set_members(view),
            ShardInput::ForceRecovery => self.force_recovery(now),
            ShardInput::TransferLeadership { to } => self.replica.transfer_leadership_to(to),
            ShardInput::Shutdown => self.replica.transfer_leadership(),
        }
    }

    /// Makes the handled inputs durable and returns the outputs since the last flush.
    pub fn flush(&mut self, now: MonotonicTime) -> Vec<ShardOutput> {
        if !self.failed {
            match self.replica.flush(now) {
                Ok(ready) => self.handle_ready(now, ready),
                Err(error) => self.fail(&error),
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// The shard whose replica this core runs.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        self.shard
    }

    /// The replicated state as far as this replica has applied it.
    #[must_use]
    pub fn machine(&self) -> &ShardMachine {
        self.state.machine()
    }

    /// Current status of the consensus replica.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    /// The status as of the last flush, from which the reports to the gateway are made.
    #[must_use]
    pub fn reported_status(&self) -> &ShardReplicaStatus {
        self.status.last()
    }

    // Results of a flush.

    fn handle_ready(&mut self, now: MonotonicTime, ready: Ready) {
        let messages = ready.messages.into_iter();
        self.outputs.extend(messages.map(ShardOutput::Replication));
        if let Some(restored) = ready.restored {
            self.restore(now, &restored);
        }
        if ready.lost_leadership {
            self.resign(now);
        }
        for entry in ready.committed {
            self.apply(now, &entry);
        }
        if ready.became_leader {
            self.lead(now);
        }
        for read in ready.failed_reads {
            self.fail_read(now, read);
        }
        for read in ready.confirmed_reads {
            self.reads.confirmed(read.request, read.index);
        }
        self.serve_ready_reads();
        if let Some(snapshot) = self.state.take_due_snapshot() {
            self.replica.save_snapshot(snapshot.index, snapshot.data);
        }
        self.update_status(now);
    }

    fn restore(&mut self, now: MonotonicTime, snapshot: &RestoredSnapshot) {
        let Ok(mut changes) = self.state.restore(snapshot) else {
            self.fail(&StorageError::Failed);
            return;
        };
        let items = self.state.public_items();
        let position = FeedPosition::new(snapshot.term, snapshot.index);
        self.outputs
            .extend(self.feeds.restore(position, items.clone()));
        changes.extend(items);
        self.publish_changes(now, changes);
    }

    fn apply(&mut self, now: MonotonicTime, entry: &LogEntry) {
        let applied = self.state.apply(entry);
        let applied = applied.map(|AppliedCommand { command, applied }| {
            if let Some(closed) = self.sessions.apply_command(now, &command, &applied) {
                self.placement.forget_member(closed);
            }
            applied
        });
        let changes = applied
            .as_ref()
            .map_or_else(Vec::new, |applied| applied.changes.clone());
        let position = FeedPosition::new(entry.term, entry.index);
        self.outputs
            .extend(self.feeds.apply(position, changes.clone()));
        if !changes.is_empty() {
            self.publish_changes(now, changes);
        }
        let purpose = self.replica.take_proposal(entry.index, entry.term);
        if let (Some(applied), Some(purpose)) = (applied, purpose) {
            self.conclude_proposal(&purpose, applied.result);
        }
    }

    fn publish_changes(&mut self, now: MonotonicTime, changes: Vec<StateItem>) {
        if self.shard == ShardId::CONFIGURATION {
            self.apply_configuration(now, &changes);
        }
        self.catalogue.check_soon();
        self.outputs.push(ShardOutput::PublicChange(changes));
    }

    /// Passes changes of the configuration on to the catalogue and the quotas.
    fn apply_configuration(&mut self, now: MonotonicTime, items: &[StateItem]) {
        self.catalogue.apply_configuration(items);
        self.quota.apply_configuration(now, items);
    }

    /// Answers the requester of a command that this replica proposed, now that it is applied.
    fn conclude_proposal(&mut self, purpose: &Purpose, result: CommandResult) {
        if let Some(event) = acceptance_event(&result) {
            self.outputs.push(ShardOutput::Event(event));
        }
        if let Purpose::Request(correlation_id) = purpose {
            let code = result.code;
            let kind = shard_reply::Kind::Result(result);
            let reply = self.replies().result(*correlation_id, code, kind);
            self.outputs.push(reply);
        }
    }

    fn lead(&mut self, now: MonotonicTime) {
        self.sessions.lead(now, self.state.machine());
        self.quota.lead(now, self.replica.status().term);
        self.placement.lead(now);
        self.maintenance.lead(now);
        self.repair.lead(now);
        self.catalogue.lead();
    }

    /// Ends the leader's duties. Requesters of proposals and unconfirmed reads are refused with
    /// `NotLeader`; unconfirmed subscriptions are read again through the new leader.
    fn resign(&mut self, now: MonotonicTime) {
        self.sessions.resign();
        self.quota.resign();
        self.placement.resign();
        for purpose in self.replica.abandon_proposals() {
            if let Purpose::Request(correlation_id) = purpose {
                self.refuse(correlation_id, ResultCode::NotLeader);
            }
        }
        for read in self.reads.take_unconfirmed() {
            self.retry_read(now, &read.purpose);
        }
    }

    fn update_status(&mut self, now: MonotonicTime) {
        let replica = self.replica.status();
        let current = ShardReplicaStatus::of_replica(self.shard, &replica, now);
        let update = self.status.update(now, current);
        let report = update.report.map(ShardOutput::ReplicaStatus);
        self.outputs.extend(report);
        if update.lost_quorum {
            self.outputs.extend(self.feeds.end_as_stale());
        }
    }

    fn fail(&mut self, error: &StorageError) {
        self.failed = true;
        self.outputs.extend(self.feeds.end_as_stale());
        let stopped = self.status.stopped();
        self.outputs.push(ShardOutput::ReplicaStatus(stopped));
        self.outputs.push(ShardOutput::Failed(storage_code(error)));
    }

    /// Makes this replica the only voter of its group, as ordered by an operator.
    fn force_recovery(&mut self, now: MonotonicTime) {
        let replica = match self.replica.recover(now) {
            Ok(replica) => replica,
            Err(error) => {
                self.fail(&error);
                return;
            }
        };
        self.resign(now);
        self.replica.replace(replica);
        // The state is rebuilt from the snapshot and the log.
        self.state.reset();
        self.feeds.reset();
        let event = NodeEvent::RecoveryForced(self.shard);
        self.outputs.push(ShardOutput::Event(event));
    }

    // Periodic maintenance.

    fn tick(&mut self, now: MonotonicTime) {
        let stalled = self.maintenance.stalled_time(now);
        self.replica.tick(now, stalled);
        self.retry_subscriptions(now);
        if self.status.last().has_quorum && self.maintenance.progress_due(now) {
            self.outputs.extend(self.feeds.progress());
        }
        if !self.replica.is_confirmed_leader() {
            return;
        }
        self.close_expired_sessions(now);
        self.update_catalogue();
        self.repair_group(now);
        self.remove_unresponsive_members(now);
        self.advance_clock(now);
        self.outputs.extend(self.quota.tick(now));
        self.publish_load_snapshots(now);
        self.update_placements(now);
    }

    fn close_expired_sessions(&mut self, now: MonotonicTime) {
        for close in self.sessions.take_expired(now) {
            let command = command_of(command::Kind::CloseSession(close.clone()));
            if self.replica.propose(&command, Purpose::Expiry).is_err() {
                self.sessions.reopen_expired(&close);
            }
        }
    }

    /// Proposes the differences between the catalogue of this shard's services and the registry.
    fn update_catalogue(&mut self) {
        let replica = &self.replica;
        let is_updating = |service: &str| {
            let purpose = Purpose::Catalogue(service.to_owned());
            replica.is_proposed(&purpose)
        };
        let machine = self.state.machine();
        for update in self.catalogue.take_updates(machine, is_updating) {
            let kind = command::Kind::UpdateBackends(update.update);
            self.propose_own(kind, Purpose::Catalogue(update.service));
        }
    }

    /// Replaces lost voters, one membership change at a time.
    fn repair_group(&mut self, now: MonotonicTime) {
        let status = self.replica.status();
        let own = self.replica.identity();
        if let Some(step) = self.repair.next_step(now, own, &status) {
            self.change_group(now, step);
        }
    }

    fn change_group(&mut self, now: MonotonicTime, step: RepairStep) {
        if self.replica.change_voters(step.voter_change()).is_err() {
            self.repair.refused(now);
            return;
        }
        let event = NodeEvent::VotersChange {
            shard: self.shard,
            change: step.label(),
            node: step.node(),
        };
        self.outputs.push(ShardOutput::Event(event));
    }

    /// Removes unresponsive control nodes from the membership; done by the leader of the
    /// configuration shard only.
    fn remove_unresponsive_members(&mut self, now: MonotonicTime) {
        if self.shard != ShardId::CONFIGURATION {
            return;
        }
        let status = self.replica.status();
        for node in self.repair.take_removable_members(now, &status) {
            let remove = RemoveControlMember { node_id: node.0 };
            let command = command_of(command::Kind::RemoveControlMember(remove));
            let proposed = self.replica.propose(&command, Purpose::Maintenance);
            if proposed.is_ok() {
                let event = NodeEvent::MemberRemoved(node);
                self.outputs.push(ShardOutput::Event(event));
            }
        }
    }

    /// Advances the shard's replicated clock, by which old claims expire.
    fn advance_clock(&mut self, now: MonotonicTime) {
        if !self.maintenance.clock_due(now) {
            return;
        }
        let period = u64::try_from(CLOCK_PERIOD.as_millis()).unwrap_or(u64::MAX);
        let advance = AdvanceClock { elapsed_ms: period };
        self.propose_own(command::Kind::AdvanceClock(advance), Purpose::Maintenance);
    }

    fn publish_load_snapshots(&mut self, now: MonotonicTime) {
        let term = self.status.last().term;
        let snapshots = self.placement.take_load_snapshots(now, term).into_iter();
        self.outputs
            .extend(snapshots.map(ShardOutput::LoadSnapshot));
    }

    fn update_placements(&mut self, now: MonotonicTime) {
        let replica = &self.replica;
        let is_placing = |pool: &str| {
            let purpose = Purpose::Placement(pool.to_owned());
            replica.is_proposed(&purpose)
        };
        let term = self.status.last().term;
        let pools = || self.catalogue.own_pools();
        let machine = self.state.machine();
        let plans = self
            .placement
            .take_plans(now, term, pools, machine, is_placing);
        for plan in plans {
            let events = plan.events.into_iter().map(ShardOutput::Event);
            self.outputs.extend(events);
            if let Some(placement) = plan.placement {
                let kind = command::Kind::SetPlacement(placement);
                self.propose_own(kind, Purpose::Placement(plan.pool));
            }
        }
    }

    /// Proposes a command that the leader issues itself, without a request.
    fn propose_own(&mut self, kind: command::Kind, purpose: Purpose) {
        // The proposal fails only if this replica no longer leads. The new leader then makes its
        // own proposals.
        let _ = self.replica.propose(&command_of(kind), purpose);
    }

    // Requests and reads.

    /// Handles an agent's quota request. Only a leader that cannot have a successor yet may grant
    /// quota.
    fn handle_quota_request(
        &mut self,
        now: MonotonicTime,
        correlation_id: CorrelationId,
        request: &QuotaRequest,
    ) {
        let outputs = if self.replica.excludes_successor(now) {
            self.quota.grant(now, correlation_id, request)
        } else {
            vec![quota_service::refusal(correlation_id, request)]
        };
        self.outputs.extend(outputs);
    }

    /// Handles a request that only the shard's leader may answer.
    fn handle_request(
        &mut self,
        now: MonotonicTime,
        correlation_id: CorrelationId,
        request: ShardRequest,
    ) {
        use shard_request::Kind;
        if !self.replica.is_confirmed_leader() {
            self.refuse(correlation_id, ResultCode::NotLeader);
            return;
        }
        match request.kind {
            Some(Kind::Propose(command)) => {
                let purpose = Purpose::Request(correlation_id);
                if self.replica.propose(&command, purpose).is_err() {
                    self.refuse(correlation_id, ResultCode::NotLeader);
                }
            }
            Some(Kind::ReadState(read)) => {
                let purpose = ReadPurpose::State {
                    correlation_id,
                    prefix: read.key_prefix,
                    with_source: read.with_source,
                };
                self.start_read(now, purpose);
            }
            Some(Kind::ReadIndex(_)) => {
                self.start_read(now, ReadPurpose::Index { correlation_id });
            }
            Some(Kind::Status(_)) => {
                self.start_read(now, ReadPurpose::Status { correlation_id });
            }
            Some(Kind::RenewSessions(request)) => {
                let renewed = self.sessions.renew(now, &request);
                let kind = shard_reply::Kind::RenewedSessions(renewed);
                self.reply(correlation_id, kind);
            }
            None => self.refuse(correlation_id, ResultCode::ProtocolViolation),
        }
    }

    /// Starts a read whose index this leader has its quorum confirm.
    fn start_read(&mut self, now: MonotonicTime, purpose: ReadPurpose) {
        let number = self.reads.start(purpose);
        if self.replica.confirm_read(number).is_err() {
            self.fail_read(now, number);
        }
    }

    /// Ends or retries a read that could not be confirmed.
    fn fail_read(&mut self, now: MonotonicTime, number: u64) {
        if let Some(read) = self.reads.take(number) {
            self.retry_read(now, &read.purpose);
        }
    }

    fn retry_read(&mut self, now: MonotonicTime, purpose: &ReadPurpose) {
        match *purpose {
            ReadPurpose::State { correlation_id, .. }
            | ReadPurpose::Index { correlation_id }
            | ReadPurpose::Status { correlation_id } => {
                self.refuse(correlation_id, ResultCode::NotLeader);
            }
            ReadPurpose::Subscribe { subscriber } => self.feeds.read_failed(now, subscriber),
        }
    }

    /// Serves the reads whose confirmed index is applied.
    fn serve_ready_reads(&mut self) {
        let applied = self.state.machine().applied_index();
        for read in self.reads.take_ready(applied) {
            let index = read.index.unwrap_or(applied);
            self.serve_read(&read.purpose, index);
        }
    }

    fn serve_read(&mut self, purpose: &ReadPurpose, index: u64) {
        let machine = self.state.machine();
        match *purpose {
            ReadPurpose::State {
                correlation_id,
                ref prefix,
                with_source,
            } => {
                let mut state = replies::state_under(machine, prefix);
                if with_source {
                    state.config_source = machine.config_source().to_vec();
                }
                self.reply(correlation_id, shard_reply::Kind::State(state));
            }
            ReadPurpose::Index { correlation_id } => {
                self.reply(correlation_id, shard_reply::Kind::ReadIndex(index));
            }
            ReadPurpose::Status { correlation_id } => {
                let replica = self.replica.status();
                let status = replies::shard_status(machine, &replica, &self.sessions);
                self.reply(correlation_id, shard_reply::Kind::Status(status));
            }
            ReadPurpose::Subscribe { subscriber } => {
                self.outputs.extend(self.feeds.open(subscriber));
            }
        }
    }

    fn replies(&self) -> Replies {
        Replies::of(self.shard)
    }

    fn reply(&mut self, correlation_id: CorrelationId, kind: shard_reply::Kind) {
        let reply = self.replies().success(correlation_id, kind);
        self.outputs.push(reply);
    }

    /// Answers with a result code only, and with the leader's identity as a hint if it is known.
    fn refuse(&mut self, correlation_id: CorrelationId, code: ResultCode) {
        let hint: NodeId = self.replica.leader_hint();
        let reply = self.replies().refusal(correlation_id, code, hint);
        self.outputs.push(reply);
    }

    // Feed subscriptions of agents.

    /// Starts an agent's subscription. The feed opens only after the leader has confirmed the
    /// shard's commit index and this replica has applied up to it, so that the agent never sees a
    /// state older than what was acknowledged when it subscribed.
    fn subscribe(&mut self, now: MonotonicTime, subscriber: LinkId, subscribe: Subscribe) {
        self.close_feed(subscriber);
        self.feeds.request(now, subscriber, subscribe);
        self.confirm_subscription(now, subscriber);
    }

    fn close_feed(&mut self, subscriber: LinkId) {
        self.reads.forget_subscriber(subscriber);
        self.feeds.close(subscriber);
    }

    fn confirm_subscription(&mut self, now: MonotonicTime, subscriber: LinkId) {
        let purpose = ReadPurpose::Subscribe { subscriber };
        if self.status.last().leads {
            self.start_read(now, purpose);
            return;
        }
        let read = self.reads.start(purpose);
        self.outputs.push(ShardOutput::ConfirmRead { read });
    }

    /// Restarts failed reads of subscriptions, and refuses subscriptions that waited too long, so
    /// that their agents connect to another node.
    fn retry_subscriptions(&mut self, now: MonotonicTime) {
        for due in self.feeds.take_due(now) {
            let subscriber = due.subscriber;
            let step = due.step(self.reads.is_confirmed_for(subscriber));
            if step == SubscriptionStep::Wait {
                continue;
            }
            self.reads.forget_subscriber(subscriber);
            if step == SubscriptionStep::ConfirmAgain {
                self.confirm_subscription(now, subscriber);
            } else {
                let refusal = self.feeds.refuse(subscriber);
                self.outputs.push(refusal);
            }
        }
    }
}

/// The event for an accepted configuration; none for a repeated order, which changes nothing.
fn acceptance_event(result: &CommandResult) -> Option<NodeEvent> {
    let Some(command_result::Kind::PutConfig(accepted)) = &result.kind else {
        return None;
    };
    let succeeded = result.code == ResultCode::Ok.number();
    (succeeded && !accepted.repeated_order)
        .then_some(NodeEvent::ConfigurationAccepted(accepted.revision))
}
