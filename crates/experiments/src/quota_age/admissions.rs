//! What a fleet admitted and what that cost.

use millford_core::MonotonicTime;

use super::fleet_quota::{REQUEST, WINDOW};

/// Admissions in the order of their times, and counts.
#[derive(Clone, Debug, Default)]
pub struct Admissions {
    times: Vec<MonotonicTime>,
    /// Requests that were refused.
    pub refused: u64,
    /// Datagrams that nodes sent each other.
    pub datagrams: u64,
}

impl Admissions {
    /// Records a decision.
    pub fn record(&mut self, now: MonotonicTime, is_admitted: bool) {
        if is_admitted {
            self.times.push(now);
        } else {
            self.refused += 1;
        }
    }

    /// Tokens that were admitted.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.times.len() as u64 * REQUEST
    }

    /// Share of the requests that were refused.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        let all = self.times.len() as u64 + self.refused;
        self.refused as f64 / all.max(1) as f64
    }

    /// The most tokens that were admitted within any window.
    #[must_use]
    pub fn most_in_window(&self) -> u64 {
        let mut first = 0;
        let mut most = 0;
        for (last, at) in self.times.iter().enumerate() {
            while at.since(self.times[first]) >= WINDOW {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most as u64 * REQUEST
    }
}
