//! Shares the time of the process among backends when several of them send as fast as they can.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use tokio::sync::Semaphore;

use crate::lock::lock;

/// Smallest part of a body that takes a turn, in bytes. Events of ordinary streams are smaller.
const BULK_BYTES: usize = 4 * 1024;
/// Large parts of one backend's bodies that are relayed in one round of the runtime's tasks.
const TURNS_PER_ROUND: usize = 4;

/// The turns of each backend, by backend id.
///
/// Without them each stream gets the same share of the time, so that a hundred endless bodies of one backend leave a long
/// event of another one a hundredth. With them each backend gets about the same.
#[derive(Debug, Default)]
pub struct BulkTurns {
    backends: Mutex<BTreeMap<String, Arc<Semaphore>>>,
}

impl BulkTurns {
    /// Waits for the turn of a received part of a body, if it is large.
    pub async fn take(&self, backend_id: &str, part_bytes: usize) {
        if part_bytes < BULK_BYTES {
            return;
        }
        let turns = self.turns_of(backend_id);
        let turn = turns.acquire().await;
        // The turn lasts until all other tasks that are ready have run.
        tokio::task::yield_now().await;
        drop(turn);
    }

    /// Forgets the backends that are not `known`.
    pub fn retain(&self, known: impl Fn(&str) -> bool) {
        lock(&self.backends).retain(|id, _| known(id));
    }

    fn turns_of(&self, backend_id: &str) -> Arc<Semaphore> {
        let mut backends = lock(&self.backends);
        if let Some(turns) = backends.get(backend_id) {
            return Arc::clone(turns);
        }
        let turns = Arc::new(Semaphore::new(TURNS_PER_ROUND));
        backends.insert(backend_id.to_owned(), Arc::clone(&turns));
        turns
    }
}
