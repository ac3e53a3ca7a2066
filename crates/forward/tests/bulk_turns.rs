//! Turns of backends that send large bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use millford_forward::backend::BulkTurns;

/// Bytes of a large part of a body.
const LARGE: usize = 16 * 1024;
/// Streams of the backend that sends without an end.
const ENDLESS_STREAMS: usize = 100;
/// Parts of the answer of the other backend.
const PARTS: usize = 50;

/// Guards against a long answer that gets the share of one stream among a hundred endless ones of another backend.
#[tokio::test]
async fn each_backend_gets_turns_however_many_streams_another_one_has() {
    let turns = Arc::new(BulkTurns::default());
    let endless_parts = Arc::new(AtomicUsize::new(0));
    for _ in 0..ENDLESS_STREAMS {
        let (turns, parts) = (Arc::clone(&turns), Arc::clone(&endless_parts));
        tokio::spawn(async move {
            loop {
                turns.take("endless", LARGE).await;
                parts.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    for _ in 0..PARTS {
        turns.take("sound", LARGE).await;
    }
    let endless = endless_parts.load(Ordering::Relaxed);
    assert!(
        endless <= PARTS * 10,
        "{endless} parts of the other backend"
    );
}

#[tokio::test]
async fn small_parts_wait_for_nothing() {
    let turns = BulkTurns::default();
    let taken = futures::FutureExt::now_or_never(turns.take("backend", 100));
    assert_eq!(taken, Some(()));
}
