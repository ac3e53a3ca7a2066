//! Samples of the messages of the package `millford.command`.

use millford_api::{command, state};

use crate::sample::{Sample, Samples, Values};

/// Adds a sample of each message. A message with a `oneof` has one sample for each of its kinds.
pub(crate) fn add(samples: &mut Samples) {
    samples.add("millford.command.Command.put_config", |values| {
        command::Command {
            kind: Some(command::command::Kind::PutConfig(values.next())),
        }
    });
    samples.add("millford.command.Command.claim", |values| {
        command::Command {
            kind: Some(command::command::Kind::Claim(values.next())),
        }
    });
    samples.add("millford.command.Command.settle_claim", |values| {
        command::Command {
            kind: Some(command::command::Kind::ResolveClaim(values.next())),
        }
    });
    samples.add("millford.command.Command.open_session", |values| {
        command::Command {
            kind: Some(command::command::Kind::OpenSession(values.next())),
        }
    });
    samples.add("millford.command.Command.close_session", |values| {
        command::Command {
            kind: Some(command::command::Kind::CloseSession(values.next())),
        }
    });
    samples.add("millford.command.Command.update_backends", |values| {
        command::Command {
            kind: Some(command::command::Kind::UpdateBackends(values.next())),
        }
    });
    samples.add("millford.command.Command.set_placement", |values| {
        command::Command {
            kind: Some(command::command::Kind::SetPlacement(values.next())),
        }
    });
    samples.add(
        "millford.command.Command.register_control_member",
        |values| command::Command {
            kind: Some(command::command::Kind::RegisterControlMember(values.next())),
        },
    );
    samples.add("millford.command.Command.remove_control_member", |values| {
        command::Command {
            kind: Some(command::command::Kind::RemoveControlMember(values.next())),
        }
    });
    samples.add("millford.command.Command.advance_clock", |values| {
        command::Command {
            kind: Some(command::command::Kind::AdvanceClock(values.next())),
        }
    });
    samples.add("millford.command.Command.drain_backend", |values| {
        command::Command {
            kind: Some(command::command::Kind::DrainBackend(values.next())),
        }
    });
    samples.add("millford.command.CommandResult.put_config", |values| {
        command::CommandResult {
            code: values.next(),
            kind: Some(command::command_result::Kind::PutConfig(values.next())),
        }
    });
    samples.add("millford.command.CommandResult.claim", |values| {
        command::CommandResult {
            code: values.next(),
            kind: Some(command::command_result::Kind::Claim(values.next())),
        }
    });
    samples.add("millford.command.CommandResult.open_session", |values| {
        command::CommandResult {
            code: values.next(),
            kind: Some(command::command_result::Kind::OpenSession(values.next())),
        }
    });
    samples.add("millford.command.PutConfig", command::PutConfig::sample);
    samples.add(
        "millford.command.PutConfigResult",
        command::PutConfigResult::sample,
    );
    samples.add("millford.command.Claim", command::Claim::sample);
    samples.add("millford.command.ClaimResult", command::ClaimResult::sample);
    samples.add(
        "millford.command.SettleClaim",
        command::ResolveClaim::sample,
    );
    samples.add("millford.command.OpenSession", command::OpenSession::sample);
    samples.add(
        "millford.command.OpenSessionResult",
        command::OpenSessionResult::sample,
    );
    samples.add(
        "millford.command.CloseSession",
        command::CloseSession::sample,
    );
    samples.add(
        "millford.command.UpdateBackends",
        command::UpdateBackends::sample,
    );
    samples.add(
        "millford.command.DrainBackend",
        command::DrainBackend::sample,
    );
    samples.add(
        "millford.command.SetPlacement",
        command::SetPlacement::sample,
    );
    samples.add(
        "millford.command.RegisterControlMember",
        command::RegisterControlMember::sample,
    );
    samples.add(
        "millford.command.RemoveControlMember",
        command::RemoveControlMember::sample,
    );
    samples.add(
        "millford.command.AdvanceClock",
        command::AdvanceClock::sample,
    );
    samples.add(
        "millford.command.AcceptedOrder",
        command::AcceptedOrder::sample,
    );
    samples.add("millford.command.ClaimRecord", command::ClaimRecord::sample);
    samples.add(
        "millford.command.SessionRecord",
        command::SessionRecord::sample,
    );
    samples.add(
        "millford.command.MachineSnapshot",
        command::MachineSnapshot::sample,
    );
    samples.add("millford.command.DrainOrder", command::DrainOrder::sample);
}

impl Sample for command::Command {
    fn sample(values: &mut Values) -> Self {
        command::Command {
            kind: Some(command::command::Kind::PutConfig(values.next())),
        }
    }
}

impl Sample for command::CommandResult {
    fn sample(values: &mut Values) -> Self {
        command::CommandResult {
            code: values.next(),
            kind: Some(command::command_result::Kind::PutConfig(values.next())),
        }
    }
}

impl Sample for command::PutConfig {
    fn sample(values: &mut Values) -> Self {
        command::PutConfig {
            base_revision: values.next(),
            order_id: values.next(),
            digest: values.next(),
            document: values.next(),
            revision: values.next(),
            source: values.next(),
        }
    }
}

impl Sample for command::PutConfigResult {
    fn sample(values: &mut Values) -> Self {
        command::PutConfigResult {
            revision: values.next(),
            repeated_order: values.next(),
        }
    }
}

impl Sample for command::Claim {
    fn sample(values: &mut Values) -> Self {
        command::Claim {
            tenant: values.next(),
            request_id: values.next(),
            attempt_id: values.next(),
            digest: values.next(),
        }
    }
}

impl Sample for command::ClaimResult {
    fn sample(values: &mut Values) -> Self {
        command::ClaimResult {
            granted: values.next(),
            outcome: command::RunOutcome::RunNotRun as i32,
        }
    }
}

impl Sample for command::ResolveClaim {
    fn sample(values: &mut Values) -> Self {
        command::ResolveClaim {
            tenant: values.next(),
            request_id: values.next(),
            attempt_id: values.next(),
            outcome: command::RunOutcome::RunNotRun as i32,
        }
    }
}

impl Sample for command::OpenSession {
    fn sample(values: &mut Values) -> Self {
        command::OpenSession {
            member: values.next(),
            boot_id: values.next(),
            zone: values.next(),
            address: values.next(),
            exchange_address: values.next(),
        }
    }
}

impl Sample for command::OpenSessionResult {
    fn sample(values: &mut Values) -> Self {
        command::OpenSessionResult {
            epoch: values.next(),
        }
    }
}

impl Sample for command::CloseSession {
    fn sample(values: &mut Values) -> Self {
        command::CloseSession {
            member: values.next(),
            epoch: values.next(),
            expired: values.next(),
        }
    }
}

impl Sample for command::UpdateBackends {
    fn sample(values: &mut Values) -> Self {
        command::UpdateBackends {
            service: values.next(),
            upserts: values.next(),
            removals: values.next(),
        }
    }
}

impl Sample for command::DrainBackend {
    fn sample(values: &mut Values) -> Self {
        command::DrainBackend {
            service: values.next(),
            backend_id: values.next(),
            drain: values.next(),
        }
    }
}

impl Sample for command::SetPlacement {
    fn sample(values: &mut Values) -> Self {
        command::SetPlacement {
            placement: values.next(),
        }
    }
}

impl Sample for command::RegisterControlMember {
    fn sample(values: &mut Values) -> Self {
        command::RegisterControlMember {
            member: values.next(),
        }
    }
}

impl Sample for command::RemoveControlMember {
    fn sample(values: &mut Values) -> Self {
        command::RemoveControlMember {
            node_id: values.next(),
        }
    }
}

impl Sample for command::AdvanceClock {
    fn sample(values: &mut Values) -> Self {
        command::AdvanceClock {
            elapsed_ms: values.next(),
        }
    }
}

impl Sample for command::AcceptedOrder {
    fn sample(values: &mut Values) -> Self {
        command::AcceptedOrder {
            order_id: values.next(),
            base_revision: values.next(),
            digest: values.next(),
            revision: values.next(),
        }
    }
}

impl Sample for command::ClaimRecord {
    fn sample(values: &mut Values) -> Self {
        command::ClaimRecord {
            key: values.next(),
            attempt: values.next(),
            digest: values.next(),
            outcome: command::RunOutcome::RunNotRun as i32,
            claimed_at_ms: values.next(),
        }
    }
}

impl Sample for command::SessionRecord {
    fn sample(values: &mut Values) -> Self {
        command::SessionRecord {
            member: values.next(),
            boot_id: values.next(),
            epoch: values.next(),
            zone: values.next(),
            address: values.next(),
        }
    }
}

impl Sample for command::MachineSnapshot {
    fn sample(values: &mut Values) -> Self {
        command::MachineSnapshot {
            applied_index: values.next(),
            applied_term: values.next(),
            public_state: values.next(),
            orders: values.next(),
            claims: values.next(),
            sessions: values.next(),
            shard_time_ms: values.next(),
            next_epoch: values.next(),
            drain_orders: values.next(),
            config_source: values.next(),
        }
    }
}

impl Sample for command::DrainOrder {
    fn sample(values: &mut Values) -> Self {
        command::DrainOrder {
            service: values.next(),
            backend_id: values.next(),
            declared_state: state::BackendState::BackendGone as i32,
        }
    }
}
