//! Backends that read prompts one after the other.

use std::collections::VecDeque;

/// A prompt that is not read yet.
#[derive(Clone, Copy, Debug)]
struct Prompt {
    node: usize,
    work_ms: f64,
    read_at_ms: f64,
}

/// All backends, and what each node has in flight on each.
#[derive(Clone, Debug)]
pub struct Backends {
    queues: Vec<VecDeque<Prompt>>,
    in_flight: Vec<f64>,
    by_node: Vec<Vec<f64>>,
}

impl Backends {
    /// Idle backends.
    #[must_use]
    pub fn new(nodes: usize, backends: usize) -> Self {
        Self {
            queues: vec![VecDeque::new(); backends],
            in_flight: vec![0.0; backends],
            by_node: vec![vec![0.0; backends]; nodes],
        }
    }

    /// Ends what was read by now.
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

    /// Work of all nodes on each backend, in milliseconds: whole prompts until they are read.
    #[must_use]
    pub fn in_flight(&self) -> &[f64] {
        &self.in_flight
    }

    /// Work of one node on each backend.
    #[must_use]
    pub fn of_node(&self, node: usize) -> &[f64] {
        &self.by_node[node]
    }

    /// Sends a prompt to a backend. Answers when it is read.
    pub fn send(&mut self, now_ms: f64, node: usize, backend: usize, work_ms: f64) -> f64 {
        let queue = &mut self.queues[backend];
        let begins = queue
            .back()
            .map_or(now_ms, |last| last.read_at_ms.max(now_ms));
        let read_at_ms = begins + work_ms;
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
