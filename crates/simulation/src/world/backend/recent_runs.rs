//! Runs that backends started recently; the source of crossed answers and stray chunks.

use std::collections::VecDeque;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::history::ContentNumber;
use crate::world::backend::answering::Answering;

/// Largest number of runs kept.
const CAPACITY: usize = 8;

/// The latest runs of all backends, from oldest to newest.
#[derive(Default)]
pub struct RecentRuns {
    runs: VecDeque<Answering>,
}

impl RecentRuns {
    /// Adds a run that started, and drops the oldest one beyond the capacity.
    pub fn push(&mut self, run: Answering) {
        self.runs.push_back(run);
        if self.runs.len() > CAPACITY {
            self.runs.pop_front();
        }
    }

    /// Draws a run of another content; `None` if there is none.
    pub fn draw_other(&self, content: ContentNumber, random: &mut ChaCha8Rng) -> Option<Answering> {
        let others: Vec<&Answering> = self
            .runs
            .iter()
            .filter(|run| run.content != content)
            .collect();
        if others.is_empty() {
            return None;
        }
        let index = random.random_range(0..others.len());
        Some(others[index].clone())
    }
}
