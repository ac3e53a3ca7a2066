//! Progress of the simulated backends and handling of their first and last tokens.

use millford_api::internal::CostSample;
use millford_backend_model::{BackendEvent, BackendEventKind};
use millford_core::MonotonicTime;

use crate::fleet::event::Event;
use crate::fleet::request::{Attempt, Request};
use crate::fleet::simulation::Simulation;

impl Simulation {
    /// Returns the ids of the requests whose current attempt matches the predicate.
    pub(crate) fn requests_with(&self, predicate: impl Fn(&Request, &Attempt) -> bool) -> Vec<u64> {
        self.requests
            .iter()
            .filter(|(_, request)| {
                let attempt = request.attempt.as_ref();
                attempt.is_some_and(|attempt| predicate(request, attempt))
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// Advances a host to the current time and handles the events that occurred on it.
    pub(crate) fn advance_host(&mut self, host: usize) {
        let events = self.hosts[host].advance(self.now);
        let changed = !events.is_empty();
        for event in events {
            self.handle_backend_event(event);
        }
        if changed {
            self.reschedule_host(host);
        }
    }

    /// Invalidates the host's pending change event and schedules its next change.
    pub(crate) fn reschedule_host(&mut self, host: usize) {
        let present = &mut self.hosts[host];
        present.generation += 1;
        let generation = present.generation;
        if let (true, Some(at)) = (present.is_up, present.backend.next_change()) {
            self.queue.add(at, Event::HostChange { host, generation });
        }
    }

    fn handle_backend_event(&mut self, event: BackendEvent) {
        let Some(id) = self.runs.get(&event.run).copied() else {
            return;
        };
        match event.kind {
            BackendEventKind::FirstToken => self.handle_first_token(id, event.at),
            BackendEventKind::Tokens(_) => {}
            BackendEventKind::Finished => self.handle_finish(id, event.at),
        }
    }

    fn handle_first_token(&mut self, id: u64, at: MonotonicTime) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = request.attempt.as_mut() else {
            return;
        };
        attempt.first_token = Some(at);
        attempt.in_flight.begin_decode();
        if !self.hosts[attempt.host].is_active() {
            attempt.in_flight.begin_draining();
        }
        let costs = &self.proxies[request.proxy].costs;
        let millis = at.since(attempt.sent).as_secs_f64() * 1000.0;
        costs.add_first_token(request.model, attempt.queued_tokens, millis);
        self.metrics
            .record_first_token(request.arrived, at.since(request.arrived));
    }

    fn handle_finish(&mut self, id: u64, at: MonotonicTime) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let Some(attempt) = request.attempt.take() else {
            return;
        };
        self.runs.remove(&attempt.run);
        let proxy = &mut self.proxies[request.proxy];
        proxy.own_open_attempts[attempt.host] -= 1;
        let first = attempt.first_token.unwrap_or(at);
        let output_tokens = request.prompt.output_tokens;
        let inter_token = at.since(first) / output_tokens.saturating_sub(1).max(1);
        if output_tokens > 1 {
            let millis = inter_token.as_secs_f64() * 1000.0;
            let streams = attempt.streams_at_start + 1;
            proxy.costs.add_inter_token(request.model, streams, millis);
        }
        proxy.costs.add_output_tokens(request.model, output_tokens);
        let share = f64::from(attempt.cached_tokens) / f64::from(request.prompt.tokens);
        if attempt.by_affinity {
            proxy.costs.add_cached_share(request.model, share);
        } else {
            proxy.costs.add_cached_share_elsewhere(request.model, share);
        }
        let sample = CostSample {
            prompt_tokens: u32::try_from(attempt.own_tokens).unwrap_or(u32::MAX),
            first_token_ms: first.since(attempt.sent).as_millis() as u32,
            output_tokens,
            decode_ms: at.since(first).as_millis() as u32,
            streams_at_start: attempt.streams_at_start,
        };
        proxy.load_table.add_sample(attempt.in_flight.key(), sample);
        self.metrics.record_finish(request.arrived, inter_token);
    }
}
