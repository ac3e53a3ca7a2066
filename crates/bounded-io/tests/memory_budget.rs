//! Which buffer gives way when the memory for peers is used up.

use std::sync::Arc;

use futures::FutureExt;
use millford_bounded_io::{
    AdmittedBuffer, BoundedBuffer, BudgetError, BufferError, MemoryBudget, Reader, Source,
};
use quickcheck::QuickCheck;

const LIMIT: usize = 1000;
/// Buffers up to this size need no reservation, in bytes.
const FREE: usize = 16 * 1024;

fn budget() -> Arc<MemoryBudget> {
    MemoryBudget::new("test", &[(Reader::Answer, LIMIT)])
}

fn backend(name: &str) -> Source {
    Source::Backend(Arc::from(name))
}

#[test]
fn dropped_reservations_are_released() {
    let budget = budget();
    let reservation = budget.reserve(Reader::Answer, Source::Connection);
    reservation.resize(LIMIT).expect("there is room");
    assert_eq!(budget.used(Reader::Answer), LIMIT);
    reservation.resize(400).expect("it shrinks");
    assert_eq!(budget.used(Reader::Answer), 400);
    drop(reservation);
    assert_eq!(budget.used(Reader::Answer), 0);
}

#[test]
fn the_backend_that_holds_most_gives_way_and_not_the_largest_buffer() {
    let budget = budget();
    let faulty: Vec<_> = (0..6)
        .map(|_| budget.reserve(Reader::Answer, backend("faulty")))
        .collect();
    for reservation in &faulty {
        reservation.resize(100).expect("there is room");
    }
    let sound = budget.reserve(Reader::Answer, backend("sound"));
    sound.resize(400).expect("there is room");
    sound.resize(500).expect("a faulty one gives way");
    assert_eq!(sound.revoked().now_or_never(), None);
    let revoked = faulty
        .iter()
        .filter(|reservation| reservation.revoked().now_or_never().is_some());
    assert_eq!(revoked.count(), 1);
    assert_eq!(budget.used(Reader::Answer), LIMIT);
}

#[test]
fn the_growing_buffer_of_the_backend_that_holds_most_fails() {
    let budget = budget();
    let small = budget.reserve(Reader::Answer, backend("sound"));
    small.resize(300).expect("there is room");
    let endless = budget.reserve(Reader::Answer, backend("faulty"));
    endless.resize(700).expect("there is room");
    assert_eq!(endless.resize(701), Err(BudgetError::Exhausted));
    assert_eq!(small.revoked().now_or_never(), None);
}

#[test]
fn complete_units_do_not_give_way() {
    let budget = budget();
    let complete = budget.reserve(Reader::Answer, Source::Connection);
    complete.resize(900).expect("there is room");
    complete.complete();
    let growing = budget.reserve(Reader::Answer, Source::Connection);
    assert_eq!(growing.resize(200), Err(BudgetError::Exhausted));
    assert_eq!(complete.resize(800), Ok(()));
}

#[test]
fn other_kinds_of_readers_have_their_own_room() {
    let budget = budget();
    let answer = budget.reserve(Reader::Answer, Source::Connection);
    answer.resize(LIMIT).expect("there is room");
    let frame = budget.reserve(Reader::Frame, Source::Connection);
    assert_eq!(frame.resize(10 * LIMIT), Ok(()), "no limit is set");
}

#[tokio::test]
async fn an_announced_unit_waits_until_a_stalled_one_gives_way() {
    let budget = budget();
    let stalled = budget.admit(Reader::Answer, LIMIT).await;
    let admitted = budget.admit(Reader::Answer, 600).await;
    assert!(stalled.revoked().now_or_never().is_some());
    assert_eq!(stalled.resize(LIMIT), Err(BudgetError::Revoked));
    assert_eq!(budget.used(Reader::Answer), 600);
    drop(admitted);
}

#[tokio::test]
async fn units_are_admitted_in_the_order_of_their_arrival() {
    let budget = budget();
    let complete = budget.admit(Reader::Answer, LIMIT).await;
    complete.complete();
    let mut first = Box::pin(budget.admit(Reader::Answer, 900));
    let mut second = Box::pin(budget.admit(Reader::Answer, 50));
    assert!((&mut first).now_or_never().is_none());
    assert!((&mut second).now_or_never().is_none());
    complete.resize(100).expect("it shrinks");
    assert!((&mut second).now_or_never().is_none(), "it waits its turn");
    let first = first.await;
    assert!((&mut second).now_or_never().is_none(), "there is no room");
    drop(first);
    second.await;
}

#[test]
fn a_buffer_refuses_what_is_over_its_own_limit_and_keeps_the_rest() {
    let mut buffer = BoundedBuffer::new(
        &MemoryBudget::unlimited(),
        Reader::Answer,
        Source::Connection,
        10,
    );
    assert_eq!(buffer.extend(b"0123456789"), Ok(()));
    assert_eq!(buffer.extend(b"x"), Err(BufferError::TooLarge));
    assert_eq!(buffer.into_held().bytes(), "0123456789");
}

#[tokio::test]
async fn an_announced_size_over_the_limit_is_refused_at_the_first_byte() {
    let unlimited = MemoryBudget::unlimited();
    let mut buffer = AdmittedBuffer::new(&unlimited, Reader::CallerBody, 10, Some(11));
    assert_eq!(buffer.extend(b"x").await, Err(BufferError::TooLarge));
}

#[tokio::test]
async fn the_reservation_of_an_admitted_buffer_shrinks_to_its_bytes_and_ends_with_them() {
    let budget = MemoryBudget::new("test", &[(Reader::CallerBody, 1 << 20)]);
    let mut buffer = AdmittedBuffer::new(&budget, Reader::CallerBody, 1 << 20, None);
    buffer.extend(&[0; FREE]).await.expect("it is small");
    assert_eq!(budget.used(Reader::CallerBody), 0);
    buffer.extend(&[0]).await.expect("there is room");
    assert_eq!(budget.used(Reader::CallerBody), 1 << 20);
    let held = buffer.into_held().expect("nothing else needs the room");
    assert_eq!(budget.used(Reader::CallerBody), FREE + 1);
    let clone = held.clone();
    drop(held);
    assert_eq!(budget.used(Reader::CallerBody), FREE + 1);
    drop(clone);
    assert_eq!(budget.used(Reader::CallerBody), 0);
}

#[test]
fn a_buffer_holds_what_was_appended_within_its_reservation() {
    fn holds(parts: Vec<Vec<u8>>) -> bool {
        let budget = MemoryBudget::new("test", &[(Reader::Answer, usize::MAX)]);
        let mut buffer =
            BoundedBuffer::new(&budget, Reader::Answer, Source::Connection, usize::MAX);
        let padding = vec![0; FREE];
        buffer.extend(&padding).expect("there is no limit");
        for part in &parts {
            buffer.extend(part).expect("there is no limit");
        }
        let expected = [padding, parts.concat()].concat();
        let reserved = budget.used(Reader::Answer);
        let is_covered = reserved >= expected.len() || expected.len() <= FREE;
        is_covered && *buffer.into_held().bytes() == expected
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<Vec<u8>>) -> bool);
}
