//! The operator's list of control machines, from which the seeds in settings files are taken.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use crate::bounds::SEED_LAG;
use crate::history::Moment;

/// A list and the moment since when it holds.
type DatedList = (Moment, Vec<SocketAddr>);

/// The list over time. Settings files and the operator see it with a lag.
#[derive(Clone, Debug, Default)]
pub struct SeedList(Arc<Mutex<Vec<DatedList>>>);

impl SeedList {
    /// Replaces the list from `now` on.
    pub fn set(&self, now: Moment, seeds: Vec<SocketAddr>) {
        self.lock().push((now, seeds));
    }

    /// The list as it was [`SEED_LAG`] before `now`, or the first list.
    #[must_use]
    pub fn lagging(&self, now: Moment) -> Vec<SocketAddr> {
        let lists = self.lock();
        let old = lists
            .iter()
            .rev()
            .find(|(since, _)| *since + SEED_LAG <= now);
        let list = old.or(lists.first());
        list.map(|(_, seeds)| seeds.clone()).unwrap_or_default()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<DatedList>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
