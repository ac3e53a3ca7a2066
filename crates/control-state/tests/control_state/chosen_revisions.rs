//! Revisions chosen by operators, and the source text of documents, which is returned unchanged.

use crate::fixtures::{Machine, tenant, valid_document};
use millford_api::command::{PutConfig, PutConfigResult, command::Kind, command_result};
use millford_control_state::document;
use millford_core::{ResultCode, ShardId};
use quickcheck::QuickCheck;

impl Machine {
    fn put_revision(
        &mut self,
        base: u64,
        revision: u64,
        text: &str,
    ) -> (ResultCode, PutConfigResult) {
        let mut desired = valid_document();
        desired.tenants.push(tenant(&format!("tenant-{text}")));
        let order = PutConfig {
            base_revision: base,
            order_id: String::new(),
            digest: document::digest(&desired),
            document: Some(desired),
            revision,
            source: text.as_bytes().to_vec(),
        };
        let applied = self.apply_kind(Kind::PutConfig(order));
        let code = ResultCode::from_number(applied.result.code).expect("a known code");
        match applied.result.kind {
            Some(command_result::Kind::PutConfig(result)) => (code, result),
            _ => panic!("the result is not a reply to an order"),
        }
    }
}

#[test]
fn chosen_revisions_may_skip_numbers() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    assert_eq!(machine.put_revision(0, 7, "a").1.revision, 7);
    assert_eq!(machine.put_revision(7, 8, "b").1.revision, 8);
    assert_eq!(machine.put_revision(8, 1000, "c").1.revision, 1000);
    assert_eq!(
        machine.put_revision(1000, 0, "d").1.revision,
        1001,
        "without a chosen revision, the next one is assigned"
    );
    assert_eq!(machine.machine.config_source(), b"d");
}

#[test]
fn a_revision_not_above_the_current_one_is_refused() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    machine.put_revision(0, 7, "a");
    for revision in [1, 6, 7] {
        let (code, result) = machine.put_revision(7, revision, "b");
        assert_eq!((code, result.revision), (ResultCode::RevisionNotAbove, 7));
    }
    assert_eq!(machine.machine.config_source(), b"a");
    assert_eq!(machine.machine.revision(), 7);
}

#[test]
fn of_two_orders_with_the_same_revision_one_is_accepted_and_resent_ones_are_acknowledged() {
    let mut machine = Machine::new(ShardId::CONFIGURATION);
    assert_eq!(machine.put_revision(0, 5, "a").0, ResultCode::Ok);
    assert_eq!(
        machine.put_revision(0, 5, "b").0,
        ResultCode::RevisionConflict
    );
    let (code, again) = machine.put_revision(0, 5, "a");
    assert_eq!(
        (code, again.revision, again.repeated_order),
        (ResultCode::Ok, 5, true)
    );
    machine.put_revision(5, 6, "c");
    // The same holds after a later change and after a restore from a snapshot.
    let snapshot = machine.machine.snapshot();
    let mut restored = Machine::new(ShardId::CONFIGURATION);
    restored.machine.restore(&snapshot).expect("a snapshot");
    restored.index = machine.index;
    assert_eq!(restored.put_revision(0, 5, "a").0, ResultCode::Ok);
    assert_eq!(
        restored.machine.config_source(),
        b"c",
        "a resent order does not replace the current source"
    );
    assert_eq!(
        restored.put_revision(0, 5, "b").0,
        ResultCode::RevisionConflict
    );
}

#[test]
fn only_accepted_orders_change_the_revision_and_they_raise_it() {
    fn property(orders: Vec<(u8, u8, u8)>) -> bool {
        let mut machine = Machine::new(ShardId::CONFIGURATION);
        let mut last = 0;
        for (base, revision, text) in orders {
            let base = if base % 2 == 0 {
                last
            } else {
                u64::from(base % 16)
            };
            let (code, result) =
                machine.put_revision(base, u64::from(revision % 16), &format!("{text}"));
            let present = machine.machine.revision();
            let accepted = code == ResultCode::Ok && !result.repeated_order;
            if present < last || accepted && present <= last || !accepted && present != last {
                return false;
            }
            last = present;
        }
        true
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}
