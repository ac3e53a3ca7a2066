//! Requests that a fleet admitted and refused, and the datagrams that the decisions took.

use millford_core::MonotonicTime;

use super::fleet_quota::{REQUEST, WINDOW};

/// Times of the admitted requests, in order, with counts of refusals and datagrams.
#[derive(Clone, Debug, Default)]
pub struct Admissions {
    times: Vec<MonotonicTime>,
    /// Number of requests refused.
    pub refused: u64,
    /// Number of datagrams that the nodes sent to each other.
    pub datagrams: u64,
}

impl Admissions {
    /// Records the decision on a request. Calls must be in the order of their times.
    pub fn record(&mut self, now: MonotonicTime, is_admitted: bool) {
        if is_admitted {
            self.times.push(now);
        } else {
            self.refused += 1;
        }
    }

    /// Returns the number of tokens admitted.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.times.len() as u64 * REQUEST
    }

    /// Returns the share of the requests that were refused; 0 without requests.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        let all = self.times.len() as u64 + self.refused;
        self.refused as f64 / all.max(1) as f64
    }

    /// Returns the largest number of tokens admitted within any window of length [`WINDOW`].
    #[must_use]
    pub fn max_tokens_in_window(&self) -> u64 {
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
