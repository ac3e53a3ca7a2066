//! Sessions of a shard's members, as the leader judges them.

use millford_api::command::{CloseSession, Command, command, command_result};
use millford_api::internal::{RenewSessions, RenewSessionsReply, SessionStatus};
use millford_control_state::{Applied, ShardMachine};
use millford_core::{MonotonicTime, ResultCode};
use millford_membership::SessionTable;

/// Owner of the table of sessions with their deadlines. Only a leader fills it.
#[derive(Default)]
pub(super) struct SessionService {
    table: SessionTable,
}

impl SessionService {
    /// The replica leads from now on: every replicated session gets a full lease.
    pub(super) fn lead(&mut self, now: MonotonicTime, machine: &ShardMachine) {
        self.table.lead(now, machine.sessions().values());
    }

    /// The replica does not lead any more.
    pub(super) fn resign(&mut self) {
        self.table.clear();
    }

    /// Renews sessions. The reply names those that do not exist any more.
    pub(super) fn renew(
        &mut self,
        now: MonotonicTime,
        request: &RenewSessions,
    ) -> RenewSessionsReply {
        let mut closed_members = Vec::new();
        for renewal in &request.renewals {
            let alive = self.table.renew(
                now,
                &renewal.member,
                renewal.epoch,
                renewal.applied_revision,
            );
            if !alive {
                closed_members.push(renewal.member.clone());
            }
        }
        RenewSessionsReply { closed_members }
    }

    /// Keeps the table in line with the replicated sessions. Returns the member whose session the
    /// command closed.
    pub(super) fn follow<'a>(
        &mut self,
        now: MonotonicTime,
        command: &'a Command,
        applied: &Applied,
    ) -> Option<&'a str> {
        let succeeded = applied.result.code == ResultCode::Ok.number();
        match (&command.kind, &applied.result.kind) {
            (
                Some(command::Kind::OpenSession(open)),
                Some(command_result::Kind::OpenSession(opened)),
            ) => {
                self.table.opened(now, &open.member, opened.epoch);
                None
            }
            (Some(command::Kind::CloseSession(close)), _) if succeeded => {
                self.table.closed(&close.member, close.epoch);
                Some(&close.member)
            }
            _ => None,
        }
    }

    /// The sessions whose lease ended, each to be closed by a command.
    pub(super) fn take_expired(&mut self, now: MonotonicTime) -> Vec<CloseSession> {
        let expired = self.table.take_expired(now).into_iter();
        expired
            .map(|expired| CloseSession {
                member: expired.member,
                epoch: expired.epoch,
                expired: true,
            })
            .collect()
    }

    /// The closing of an expired session could not be proposed: it is due again.
    pub(super) fn reopen_expired(&mut self, close: &CloseSession) {
        self.table.reopen_expired(&close.member, close.epoch);
    }

    /// The replicated sessions, for operators.
    pub(super) fn statuses(&self, machine: &ShardMachine) -> Vec<SessionStatus> {
        let records = machine.sessions().values();
        records
            .map(|record| SessionStatus {
                member: record.member.clone(),
                epoch: record.epoch,
                zone: record.zone.clone(),
                address: record.address.clone(),
                applied_revision: self.table.applied_revision(&record.member),
            })
            .collect()
    }
}
