//! Simulated backends that process prompts in order of arrival, one at a time.

use std::collections::VecDeque;

/// A prompt that its backend has not finished reading.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    node: usize,
    work_ms: f64,
    read_at_ms: f64,
}

/// All backends, with the work that each node has in flight on each of them.
#[derive(Clone, Debug)]
pub struct Backends {
    queues: Vec<VecDeque<Prompt>>,
    in_flight: Vec<f64>,
    by_node: Vec<Vec<f64>>,
}

impl Backends {
    /// Creates idle backends.
    #[must_use]
    pub fn new(nodes: usize, backends: usize) -> Self {
        Self {
            queues: vec![VecDeque::new(); backends],
            in_flight: vec![0.0; backends],
            by_node: vec![vec![0.0; backends]; nodes],
        }
    }

    /// Removes the prompts that are read completely by `now_ms`.
    pub fn advance(&mut self, now_ms: f64) {
        for (backend, queue) in self.queues.iter_mut().enumerate() {
            while let Some(prompt) = queue.front().copied()
                && prompt.read_at_ms <= now_ms
            {
                queue.pop_front();
                self.in_flight[backend] -= prompt.work_ms;
                self.by_node[prompt.node][backend] -= prompt.work_ms;
            }
        }
    }

    /// Returns the work of all nodes in flight on each backend, in milliseconds. A prompt counts in full until it is
    /// read completely.
    #[must_use]
    pub fn in_flight(&self) -> &[f64] {
        &self.in_flight
    }

    /// Returns the work of one node in flight on each backend, in milliseconds.
    #[must_use]
    pub fn of_node(&self, node: usize) -> &[f64] {
        &self.by_node[node]
    }

    /// Appends a prompt to a backend's queue and returns the time at which it will be read, in milliseconds.
    pub fn send(&mut self, now_ms: f64, node: usize, backend: usize, work_ms: f64) -> f64 {
        let queue = &mut self.queues[backend];
        let begins_at_ms = queue
            .back()
            .map_or(now_ms, |last| last.read_at_ms.max(now_ms));
        let read_at_ms = begins_at_ms + work_ms;
        queue.push_back(Prompt {
            node,
            work_ms,
            read_at_ms,
        });
        self.in_flight[backend] += work_ms;
        self.by_node[node][backend] += work_ms;
        read_at_ms
    }
}
