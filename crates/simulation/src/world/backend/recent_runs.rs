//! Runs that backends began recently, for crossed answers and stray chunks.

use std::collections::VecDeque;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::history::ContentNumber;
use crate::world::backend::answering::Answering;

/// Runs that are remembered.
const CAPACITY: usize = 8;

/// The newest runs of all backends.
#[derive(Default)]
pub struct RecentRuns {
    runs: VecDeque<Answering>,
}

impl RecentRuns {
    /// Remembers a run that began.
    pub fn push(&mut self, run: Answering) {
        self.runs.push_back(run);
        if self.runs.len() > CAPACITY {
            self.runs.pop_front();
        }
    }

    /// Draws a run of another content.
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
