//! Sessions, catalogue, placements, control members and snapshots.

use crate::fixtures::{Machine, backend, order, valid_document};
use millford_api::command::{
    CloseSession, DrainBackend, OpenSession, RegisterControlMember, RemoveControlMember,
    SetPlacement, UpdateBackends, command::Kind, command_result,
};
use millford_api::state::{
    Backend, BackendState, ControlMember, PoolPlacement, StateValue, state_value,
};
use millford_control_state::{Applied, ShardMachine, keys};
use millford_core::{ResultCode, ShardId};
use quickcheck::{Arbitrary, Gen, quickcheck};

impl Machine {
    fn open(&mut self, member: &str, boot_id: u64) -> u64 {
        let applied = self.apply_kind(Kind::OpenSession(open(member, boot_id)));
        match applied.result.kind {
            Some(command_result::Kind::OpenSession(result)) => result.epoch,
            _ => panic!("the result is not a reply to an opened session: {applied:?}"),
        }
    }

    fn close(&mut self, member: &str, epoch: u64) -> u32 {
        let close = CloseSession {
            member: member.to_owned(),
            epoch,
            expired: true,
        };
        self.apply_kind(Kind::CloseSession(close)).result.code
    }

    fn update(&mut self, upserts: Vec<Backend>, removals: Vec<String>) -> Applied {
        self.apply_kind(Kind::UpdateBackends(UpdateBackends {
            service: "pool-saga".to_owned(),
            upserts,
            removals,
        }))
    }

    fn drain(&mut self, backend_id: &str, drain: bool) -> Applied {
        self.apply_kind(Kind::DrainBackend(DrainBackend {
            service: "pool-saga".to_owned(),
            backend_id: backend_id.to_owned(),
            drain,
        }))
    }

    fn set_placement(&mut self, epoch: u64) -> Applied {
        let placement = PoolPlacement {
            pool: "pool-saga".to_owned(),
            epoch,
            replicas: Vec::new(),
        };
        self.apply_kind(Kind::SetPlacement(SetPlacement {
            placement: Some(placement),
        }))
    }

    fn state_of(&self, backend_id: &str) -> BackendState {
        let key = keys::backend("pool-saga", backend_id);
        match self.machine.public_state().get(&key) {
            Some(StateValue {
                kind: Some(state_value::Kind::Backend(backend)),
            }) => backend.state(),
            other => panic!("no backend {backend_id}: {other:?}"),
        }
    }
}

fn open(member: &str, boot_id: u64) -> OpenSession {
    OpenSession {
        member: member.to_owned(),
        boot_id,
        zone: "a".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        ..Default::default()
    }
}

fn in_state(id: &str, state: BackendState) -> Backend {
    let mut backend = backend(id, "saga");
    backend.state = state.into();
    backend
}

#[test]
fn epochs_grow_and_a_resent_open_command_returns_the_same_epoch() {
    let mut machine = Machine::new(ShardId(2));
    let first = machine.open("agent-1", 7);
    assert_eq!(machine.open("agent-1", 7), first);
    let other = machine.open("agent-2", 7);
    let restarted = machine.open("agent-1", 8);
    assert!(first < other && other < restarted);
    let session = machine.machine.session("agent-1").expect("open");
    assert_eq!((session.boot_id, session.epoch), (8, restarted));
}

#[test]
fn only_the_named_epoch_is_closed() {
    let mut machine = Machine::new(ShardId(2));
    let old = machine.open("agent-1", 7);
    let new = machine.open("agent-1", 8);
    let fenced = ResultCode::EpochFenced.number();
    assert_eq!(machine.close("agent-1", old), fenced);
    assert_eq!(machine.close("agent-1", new), 0);
    assert_eq!(machine.machine.sessions().len(), 0);
    assert!(
        machine.open("agent-1", 8) > new,
        "an epoch is never assigned twice"
    );
}

#[test]
fn a_placement_with_an_older_epoch_is_fenced() {
    let mut machine = Machine::new(ShardId(2));
    assert_eq!(machine.set_placement(4).result.code, 0);
    let late = machine.set_placement(3);
    assert_eq!(late.result.code, ResultCode::EpochFenced.number());
    assert!(late.changes.is_empty());
    assert_eq!(machine.set_placement(4).result.code, 0);
}

#[test]
fn a_drain_order_stays_in_effect_over_registry_updates_until_it_is_lifted() {
    let mut machine = Machine::new(ShardId(2));
    machine.update(vec![backend("b1", "saga")], Vec::new());
    assert_eq!(machine.drain("b1", true).changes.len(), 1);
    machine.update(vec![backend("b1", "saga")], Vec::new());
    assert_eq!(machine.state_of("b1"), BackendState::BackendDraining);
    machine.update(vec![in_state("b1", BackendState::BackendGone)], Vec::new());
    assert_eq!(machine.state_of("b1"), BackendState::BackendGone);
    machine.update(vec![backend("b1", "saga")], Vec::new());
    machine.drain("b1", false);
    assert_eq!(machine.state_of("b1"), BackendState::BackendActive);
}

#[test]
fn an_unknown_backend_cannot_be_drained() {
    let mut machine = Machine::new(ShardId(2));
    let code = machine.drain("b1", true).result.code;
    assert_eq!(code, ResultCode::BackendUnknown.number());
}

#[test]
fn the_difference_to_the_registry_ignores_drain_orders() {
    let mut machine = Machine::new(ShardId(2));
    let registered = vec![backend("b1", "saga"), backend("b2", "saga")];
    machine.update(registered.clone(), Vec::new());
    machine.drain("b1", true);
    assert_eq!(
        machine
            .machine
            .catalogue_difference("pool-saga", &registered),
        None
    );
    let next = vec![
        in_state("b1", BackendState::BackendDraining),
        backend("b3", "saga"),
    ];
    let difference = machine
        .machine
        .catalogue_difference("pool-saga", &next)
        .expect("a difference");
    assert_eq!(difference.upserts, next);
    assert_eq!(difference.removals, ["b2"]);
    let applied = machine.apply_kind(Kind::UpdateBackends(difference));
    assert_eq!(applied.changes.len(), 2, "b1 is already draining");
    assert_eq!(
        machine.machine.catalogue_difference("pool-saga", &next),
        None
    );
}

#[test]
fn an_unchanged_catalogue_publishes_nothing() {
    let mut machine = Machine::new(ShardId(2));
    machine.update(vec![backend("b1", "saga")], Vec::new());
    let again = machine.update(vec![backend("b1", "saga")], vec!["b9".to_owned()]);
    assert!(again.changes.is_empty());
}

#[test]
fn control_members_are_registered_and_removed() {
    let mut machine = Machine::new(ShardId(2));
    let member = ControlMember {
        node_id: 0xab,
        internal_address: "127.0.0.1:1".to_owned(),
        ..ControlMember::default()
    };
    let register = RegisterControlMember {
        member: Some(member),
    };
    let applied = machine.apply_kind(Kind::RegisterControlMember(register));
    assert_eq!(applied.changes[0].key, "control/00000000000000ab");
    let remove = RemoveControlMember { node_id: 0xab };
    let removed = machine.apply_kind(Kind::RemoveControlMember(remove));
    assert!(removed.changes[0].value.is_none());
    let again = machine.apply_kind(Kind::RemoveControlMember(remove));
    assert_eq!((again.result.code, again.changes.len()), (0, 0));
}

#[test]
fn an_entry_is_not_applied_twice() {
    let mut machine = ShardMachine::new(ShardId(0));
    machine.apply(3, 1, &order(0, "a", &valid_document()));
    let again = machine.apply(3, 1, &order(1, "b", &valid_document()));
    assert_eq!(again.result.code, ResultCode::ProtocolViolation.number());
    assert_eq!(machine.revision(), 1);
}

#[test]
fn restoring_a_malformed_snapshot_changes_nothing() {
    let mut machine = Machine::new(ShardId(2));
    machine.open("agent-1", 7);
    let before = machine.machine.snapshot();
    assert!(machine.machine.restore(&[0xff, 0x01, 0x02]).is_err());
    assert_eq!(machine.machine.snapshot(), before);
}

/// A random command of any kind.
#[derive(Clone, Debug)]
struct AnyCommand(Kind);

impl Arbitrary for AnyCommand {
    fn arbitrary(generator: &mut Gen) -> Self {
        let small = u64::from(u8::arbitrary(generator) % 4);
        let id = format!("b{small}");
        let state = BackendState::try_from(i32::from(u8::arbitrary(generator) % 3)).expect("known");
        AnyCommand(match u8::arbitrary(generator) % 6 {
            0 => Kind::OpenSession(open(&id, u64::from(u8::arbitrary(generator) % 3))),
            1 => Kind::CloseSession(CloseSession {
                member: id,
                epoch: small + 1,
                expired: false,
            }),
            2 => Kind::UpdateBackends(UpdateBackends {
                service: "pool-saga".to_owned(),
                upserts: vec![in_state(&id, state)],
                removals: vec![format!("b{}", u8::arbitrary(generator) % 4)],
            }),
            3 => Kind::DrainBackend(DrainBackend {
                service: "pool-saga".to_owned(),
                backend_id: id,
                drain: bool::arbitrary(generator),
            }),
            4 => Kind::SetPlacement(SetPlacement {
                placement: Some(PoolPlacement {
                    pool: id,
                    epoch: u64::from(u8::arbitrary(generator) % 4),
                    replicas: Vec::new(),
                }),
            }),
            _ => order(small, &id, &valid_document()).kind.expect("a kind"),
        })
    }
}

quickcheck! {
    /// A replica that was restored from a snapshot returns the same results as one that applied all
    /// commands, and its final snapshot has the same bytes.
    fn a_restored_replica_continues_identically(before: Vec<AnyCommand>, after: Vec<AnyCommand>) -> bool {
        let mut uninterrupted = Machine::new(ShardId(2));
        for any in before {
            uninterrupted.apply_kind(any.0);
        }
        let mut restored = Machine::new(ShardId(2));
        restored.index = uninterrupted.index;
        restored.machine.restore(&uninterrupted.machine.snapshot()).expect("a snapshot");
        let same = after.into_iter().all(|any| {
            uninterrupted.apply_kind(any.0.clone()) == restored.apply_kind(any.0)
        });
        same && uninterrupted.machine.snapshot() == restored.machine.snapshot()
    }

    /// Applying the changes of all commands in order results in the public state.
    fn changes_add_up_to_the_public_state(commands: Vec<AnyCommand>) -> bool {
        let mut machine = Machine::new(ShardId(2));
        let mut rebuilt = std::collections::BTreeMap::new();
        for any in commands {
            for item in machine.apply_kind(any.0).changes {
                match item.value {
                    Some(value) => rebuilt.insert(item.key, value),
                    None => rebuilt.remove(&item.key),
                };
            }
        }
        &rebuilt == machine.machine.public_state()
    }
}
