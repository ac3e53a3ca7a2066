//! Sessions of a shard's members, whose leases the leader tracks.

use millford_api::command::{CloseSession, Command, command, command_result};
use millford_api::internal::{RenewSessions, RenewSessionsReply, SessionStatus};
use millford_control_state::{Applied, ShardMachine};
use millford_core::{MonotonicTime, ResultCode};
use millford_membership::SessionTable;

/// Owns the table of sessions and their lease deadlines, which is filled only on the leader.
#[derive(Default)]
pub(super) struct SessionService {
    table: SessionTable,
}

impl SessionService {
    /// Gives every replicated session a full lease when this replica becomes the leader.
    pub(super) fn lead(&mut self, now: MonotonicTime, machine: &ShardMachine) {
        self.table.lead(now, machine.sessions().values());
    }

    /// Clears the table when this replica stops leading.
    pub(super) fn resign(&mut self) {
        self.table.clear();
    }

    /// Renews sessions. The reply names the members whose session no longer exists.
    pub(super) fn renew(
        &mut self,
        now: MonotonicTime,
        request: &RenewSessions,
    ) -> RenewSessionsReply {
        let mut closed_members = Vec::new();
        for renewal in &request.renewals {
            let renewed = self.table.renew(
                now,
                &renewal.member,
                renewal.epoch,
                renewal.applied_revision,
            );
            if !renewed {
                closed_members.push(renewal.member.clone());
            }
        }
        RenewSessionsReply { closed_members }
    }

    /// Updates the table after an applied command opened or closed a session. Returns the member
    /// whose session the command closed.
    pub(super) fn apply_command<'a>(
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

    /// Takes the sessions whose lease expired, as commands that close them.
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

    /// Makes an expired session due again after the command that closes it could not be proposed.
    pub(super) fn reopen_expired(&mut self, close: &CloseSession) {
        self.table.reopen_expired(&close.member, close.epoch);
    }

    /// Status of each replicated session, for operators.
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
