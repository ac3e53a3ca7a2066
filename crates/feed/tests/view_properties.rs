//! With any reordering, loss or duplication of messages, a view never reverts to an older state and
//! eventually reaches the publisher's state.

use std::collections::BTreeMap;

use millford_api::internal::FeedMessage;
use millford_api::state::{ConfigHead, StateItem, StateValue, state_value};
use millford_core::ShardId;
use millford_feed::{FeedOutcome, FeedPosition, FeedPublisher, FeedView};
use quickcheck::{QuickCheck, TestResult};

const SUBSCRIBER: u64 = 7;

/// One random step of a run.
#[derive(Clone, Debug)]
enum Step {
    Apply { key: u8, value: u8, new_term: bool },
    Restore,
    Progress,
    Deliver { pick: u8 },
    Drop { pick: u8 },
    Duplicate { pick: u8 },
}

impl quickcheck::Arbitrary for Step {
    fn arbitrary(generator: &mut quickcheck::Gen) -> Self {
        let kind = u8::arbitrary(generator) % 16;
        let pick = u8::arbitrary(generator);
        match kind {
            0..=4 => Step::Apply {
                key: pick % 8,
                value: u8::arbitrary(generator) % 4,
                new_term: u8::arbitrary(generator) % 8 == 0,
            },
            5 => Step::Restore,
            6 => Step::Progress,
            7..=11 => Step::Deliver { pick },
            12..=13 => Step::Drop { pick },
            _ => Step::Duplicate { pick },
        }
    }
}

fn item(key: u8, value: u8) -> StateItem {
    let head = ConfigHead {
        revision: u64::from(value),
        digest: Vec::new(),
    };
    let kind = Some(state_value::Kind::ConfigHead(head));
    StateItem {
        key: format!("key/{key}"),
        // Value 0 means a deletion. Key 7 means an entry without public changes.
        value: (value != 0).then_some(StateValue { kind }),
    }
}

/// A publisher, a view and the messages in flight between them.
struct Run {
    publisher: FeedPublisher,
    view: FeedView,
    in_flight: Vec<FeedMessage>,
    history: BTreeMap<FeedPosition, BTreeMap<String, StateValue>>,
    term: u64,
}

impl Run {
    fn new() -> Self {
        let mut run = Run {
            publisher: FeedPublisher::new(ShardId(1)),
            view: FeedView::new(ShardId(1)),
            in_flight: Vec::new(),
            history: BTreeMap::from([(FeedPosition::START, BTreeMap::new())]),
            term: 1,
        };
        run.resubscribe();
        run
    }

    fn resubscribe(&mut self) {
        let subscribe = self.view.subscribe();
        let messages = self.publisher.subscribe(SUBSCRIBER, &subscribe);
        self.in_flight.extend(messages);
    }

    fn next_position(&self) -> FeedPosition {
        FeedPosition::new(self.term, self.publisher.position().offset + 1)
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Apply {
                key,
                value,
                new_term,
            } => self.apply(*key, *value, *new_term),
            Step::Restore => self.restore(),
            Step::Progress => {
                let deliveries = self.publisher.progress();
                self.in_flight
                    .extend(deliveries.into_iter().map(|delivery| delivery.message));
            }
            Step::Drop { pick } => {
                self.take(*pick);
            }
            Step::Deliver { pick } => {
                let message = self.take(*pick);
                return message.map_or(Ok(()), |message| self.receive(message));
            }
            Step::Duplicate { pick } => {
                if let Some(message) = self.take(*pick) {
                    self.in_flight.push(message.clone());
                    return self.receive(message);
                }
            }
        }
        Ok(())
    }

    fn apply(&mut self, key: u8, value: u8, new_term: bool) {
        self.term += u64::from(new_term);
        let changed = if key == 7 {
            Vec::new()
        } else {
            vec![item(key, value)]
        };
        let deliveries = self.publisher.apply(self.next_position(), changed);
        self.in_flight
            .extend(deliveries.into_iter().map(|delivery| delivery.message));
        self.record();
    }

    /// Advances the replica by a snapshot with a change that no message contained.
    fn restore(&mut self) {
        let mut items = self.publisher.state().items;
        items.retain(|present| present.key != "key/0");
        let deliveries = self.publisher.restore(self.next_position(), items);
        self.in_flight
            .extend(deliveries.into_iter().map(|delivery| delivery.message));
        self.record();
    }

    fn record(&mut self) {
        let items = self.publisher.items().clone();
        self.history.insert(self.publisher.position(), items);
    }

    fn take(&mut self, pick: u8) -> Option<FeedMessage> {
        if self.in_flight.is_empty() {
            return None;
        }
        let index = usize::from(pick) % self.in_flight.len();
        Some(self.in_flight.remove(index))
    }

    fn receive(&mut self, message: FeedMessage) -> Result<(), String> {
        let before = self.view.position();
        let outcome = self.view.apply(message);
        let after = self.view.position();
        if after < before {
            return Err(format!("the view reverted from {before:?} to {after:?}"));
        }
        if self.history.get(&after) != Some(self.view.items()) {
            return Err(format!("the state at {after:?} is not the publisher's"));
        }
        if outcome == FeedOutcome::Resubscribe {
            self.resubscribe();
        }
        Ok(())
    }

    /// Ends the run without faults: subscribes again and delivers all messages in order, twice.
    fn drain(&mut self) -> Result<(), String> {
        for _ in 0..2 {
            self.resubscribe();
            while !self.in_flight.is_empty() {
                let message = self.in_flight.remove(0);
                self.receive(message)?;
            }
        }
        if self.view.position() != self.publisher.position() {
            return Err("the view did not reach the publisher's position".to_owned());
        }
        Ok(())
    }
}

#[test]
fn a_view_reaches_the_publishers_state_after_reordering_loss_and_duplication() {
    fn property(steps: Vec<Step>) -> TestResult {
        let mut run = Run::new();
        for step in steps {
            if let Err(fault) = run.step(&step) {
                return TestResult::error(fault);
            }
        }
        match run.drain() {
            Ok(()) => TestResult::passed(),
            Err(fault) => TestResult::error(fault),
        }
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<Step>) -> TestResult);
}

#[test]
fn a_view_can_switch_between_replicas_with_different_retained_changes() {
    // One replica applies every entry and the other one restores a snapshot, so their retained changes
    // differ.
    fn property(values: Vec<u8>, restore_at: u8, switches: Vec<bool>) -> bool {
        let mut first = FeedPublisher::new(ShardId(1));
        let mut second = FeedPublisher::new(ShardId(1));
        let mut view = FeedView::new(ShardId(1));
        let mut reached = view.position();
        let mut switches = switches.into_iter();
        for (index, value) in values.into_iter().enumerate() {
            let position = FeedPosition::new(1, index as u64 + 1);
            let changed = vec![item(value % 5, value % 3)];
            first.apply(position, changed.clone());
            if index == usize::from(restore_at) {
                second.restore(position, first.state().items);
            } else if index > usize::from(restore_at) {
                second.apply(position, changed);
            }
            let use_second = switches.next().unwrap_or(false);
            let publisher = if use_second { &mut second } else { &mut first };
            for message in publisher.subscribe(SUBSCRIBER, &view.subscribe()) {
                if view.apply(message) == FeedOutcome::Stale {
                    return false;
                }
            }
            if view.position() < reached {
                return false;
            }
            reached = view.position();
        }
        first
            .subscribe(SUBSCRIBER, &view.subscribe())
            .into_iter()
            .for_each(|message| {
                view.apply(message);
            });
        view.items() == first.items()
    }
    QuickCheck::new()
        .tests(1_000)
        .quickcheck(property as fn(Vec<u8>, u8, Vec<bool>) -> bool);
}

#[test]
fn a_replica_behind_its_subscriber_sends_nothing_until_it_has_caught_up() {
    let mut ahead = FeedPublisher::new(ShardId(1));
    let mut behind = FeedPublisher::new(ShardId(1));
    let mut view = FeedView::new(ShardId(1));
    for offset in 1..=3 {
        ahead.apply(FeedPosition::new(1, offset), vec![item(1, offset as u8)]);
    }
    for message in ahead.subscribe(SUBSCRIBER, &view.subscribe()) {
        view.apply(message);
    }
    behind.apply(FeedPosition::new(1, 1), vec![item(1, 1)]);
    assert!(behind.subscribe(SUBSCRIBER, &view.subscribe()).is_empty());
    assert!(behind.progress().is_empty());
    assert!(
        behind
            .apply(FeedPosition::new(1, 2), vec![item(1, 2)])
            .is_empty()
    );
    let released = behind.apply(FeedPosition::new(1, 3), vec![item(1, 3)]);
    assert_eq!(released.len(), 1);
    assert_eq!(
        view.apply(released[0].message.clone()),
        FeedOutcome::Unchanged
    );
}

#[test]
fn a_history_truncated_by_forced_recovery_is_sent_as_a_snapshot() {
    let mut view = FeedView::new(ShardId(1));
    let mut former = FeedPublisher::new(ShardId(1));
    for offset in 1..=5 {
        former.apply(FeedPosition::new(1, offset), vec![item(1, offset as u8)]);
    }
    for message in former.subscribe(SUBSCRIBER, &view.subscribe()) {
        view.apply(message);
    }
    let mut recovered = FeedPublisher::new(ShardId(1));
    recovered.apply(FeedPosition::new(1, 1), vec![item(1, 1)]);
    assert!(
        recovered
            .subscribe(SUBSCRIBER, &view.subscribe())
            .is_empty()
    );
    let deliveries = recovered.apply(FeedPosition::new(9, 2), Vec::new());
    for delivery in deliveries {
        view.apply(delivery.message);
    }
    assert_eq!(view.position(), FeedPosition::new(9, 2));
    assert_eq!(view.items(), recovered.items());
}

#[test]
fn an_amendment_at_the_same_position_is_applied_and_reverted_by_the_snapshot() {
    let mut publisher = FeedPublisher::new(ShardId(1));
    publisher.apply(FeedPosition::new(1, 1), vec![item(1, 1)]);
    let mut view = FeedView::new(ShardId(1));
    view.apply_snapshot(publisher.state());
    let amendment = millford_api::internal::StateChange {
        previous_offset: 1,
        term: 1,
        offset: 1,
        items: vec![item(1, 3)],
        shard: 1,
    };
    assert_eq!(
        view.apply_change(amendment),
        FeedOutcome::Changed(vec![item(1, 3)])
    );
    assert_eq!(
        view.apply_snapshot(publisher.state()),
        FeedOutcome::Changed(vec![item(1, 1)])
    );
}
