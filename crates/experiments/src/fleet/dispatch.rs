//! Dispatch of requests to backends: choice, attempts, retries, timeouts and failures.

use millford_backend_model::RunRequest;
use millford_routing::EjectionReason;
use rand::Rng;

use crate::fleet::event::Event;
use crate::fleet::host::run_model;
use crate::fleet::proxy_node::{ChoiceInput, ChosenReplica};
use crate::fleet::request::{Attempt, Request};
use crate::fleet::simulation::Simulation;
use crate::fleet::workload::Prompt;

impl Simulation {
    /// Accepts a request at a random proxy and sends its first attempt.
    pub(crate) fn accept(&mut self, model: &'static str, prompt: Prompt) {
        let id = self.next_request;
        self.next_request += 1;
        let proxy = self.choices.random_range(0..self.proxies.len());
        let request = Request {
            model,
            prompt,
            arrived: self.now,
            proxy,
            attempts: 0,
            failed_hosts: Vec::new(),
            attempt: None,
        };
        self.requests.insert(id, request);
        self.schedule(
            self.options.first_token_limit,
            Event::Deadline { request: id },
        );
        self.send(id);
    }

    /// Sends the next attempt, and fails the request when no backend accepts it.
    fn send(&mut self, id: u64) {
        while let Some(chosen) = self.choose(id) {
            self.count_attempt(id);
            if self.start_attempt(id, &chosen) {
                return;
            }
            if !self.may_retry(id) {
                break;
            }
        }
        self.fail(id);
    }

    fn choose(&mut self, id: u64) -> Option<ChosenReplica> {
        let request = self.requests.get(&id)?;
        let input = ChoiceInput {
            model: request.model,
            prompt_tokens: u64::from(request.prompt.tokens),
            affinity: request.prompt.affinity,
            excluded: &request.failed_hosts,
        };
        let proxy = &mut self.proxies[request.proxy];
        proxy.choose(
            self.options.policy,
            &self.serving,
            &self.hosts,
            input,
            &mut self.choices,
        )
    }

    fn count_attempt(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts += 1;
        let included = self.metrics.includes(request.arrived);
        if request.attempts == 1 {
            self.proxies[request.proxy].budget.earn();
            self.metrics.first_attempts += u64::from(included);
        } else {
            self.metrics.retries += u64::from(included);
        }
    }

    /// Starts an attempt and returns whether it runs. A host that is down or has no free slot fails it immediately.
    fn start_attempt(&mut self, id: u64, chosen: &ChosenReplica) -> bool {
        self.advance_host(chosen.host);
        let run = self.next_run;
        self.next_run += 1;
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let host = &mut self.hosts[chosen.host];
        let proxy = &self.proxies[request.proxy];
        if !host.is_up {
            if self.options.retries.ejects {
                proxy.health.eject(&host.id, EjectionReason::ConnectFailed);
            }
            request.failed_hosts.push(chosen.host);
            return false;
        }
        let run_request = RunRequest {
            run,
            model: run_model(request.model, &chosen.key.version),
            prompt_tokens: request.prompt.tokens,
            prompt_blocks: request.prompt.blocks.clone(),
            output_tokens: request.prompt.output_tokens,
        };
        let Ok(started) = host.backend.start(&run_request) else {
            request.failed_hosts.push(chosen.host);
            return false;
        };
        let before = proxy.load_table.counts(&chosen.key);
        let in_flight = proxy
            .load_table
            .start(chosen.key.clone(), chosen.uncached_tokens);
        if self.metrics.includes(request.arrived) {
            self.metrics.prompt_tokens += u64::from(request.prompt.tokens);
            self.metrics.cached_tokens += u64::from(started.cached_tokens);
        }
        request.attempt = Some(Attempt {
            host: chosen.host,
            run,
            version: chosen.key.version.clone(),
            sent: self.now,
            first_token: None,
            by_affinity: chosen.by_affinity,
            cached_tokens: started.cached_tokens,
            queued_tokens: before.prefill_tokens + chosen.uncached_tokens,
            own_tokens: chosen.uncached_tokens,
            streams_at_start: before.decode_streams,
            in_flight,
        });
        let attempt = request.attempts;
        self.proxies[request.proxy].own_open_attempts[chosen.host] += 1;
        self.runs.insert(run, id);
        if let Some(timeout) = self.options.retries.attempt_timeout {
            self.schedule(
                timeout,
                Event::AttemptTimeout {
                    request: id,
                    attempt,
                },
            );
        }
        self.record_send_after_retirement(chosen.host);
        self.reschedule_host(chosen.host);
        true
    }

    fn record_send_after_retirement(&mut self, host: usize) {
        if let Some(retired) = self.retired_at.get(&host) {
            let late = self.now.since(*retired);
            self.metrics.longest_send_after_retirement =
                self.metrics.longest_send_after_retirement.max(late);
        }
    }

    fn may_retry(&mut self, id: u64) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let rules = &self.options.retries;
        let allowed = request.attempts < rules.max_attempts;
        allowed && (!rules.budgeted || self.proxies[request.proxy].budget.try_spend())
    }

    /// Cancels the current attempt and returns it; `None` when there is none.
    fn cancel_attempt(&mut self, id: u64) -> Option<Attempt> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempt.take()?;
        self.proxies[request.proxy].own_open_attempts[attempt.host] -= 1;
        self.runs.remove(&attempt.run);
        if self.hosts[attempt.host].is_up {
            self.advance_host(attempt.host);
            self.hosts[attempt.host].backend.cancel(attempt.run);
            self.reschedule_host(attempt.host);
        }
        Some(attempt)
    }

    /// Handles an attempt timeout: retries on another backend if the attempt is still current and without a first
    /// token, and the retry rules allow it.
    pub(crate) fn handle_attempt_timeout(&mut self, id: u64, attempt: u32) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let unanswered = request
            .attempt
            .as_ref()
            .is_some_and(|current| current.first_token.is_none());
        if !unanswered || request.attempts != attempt || !self.may_retry(id) {
            return;
        }
        let Some(canceled) = self.cancel_attempt(id) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.failed_hosts.push(canceled.host);
        }
        self.send(id);
    }

    /// Handles the caller's deadline: cancels the request unless its first token has arrived.
    pub(crate) fn handle_deadline(&mut self, id: u64) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let answered = request
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.first_token.is_some());
        if answered {
            return;
        }
        let arrived = request.arrived;
        self.cancel_attempt(id);
        if self.requests.remove(&id).is_some() {
            self.metrics
                .record_timeout(arrived, self.options.first_token_limit);
        }
    }

    fn fail(&mut self, id: u64) {
        if let Some(request) = self.requests.remove(&id) {
            self.metrics
                .record_failure(request.arrived, self.options.first_token_limit);
        }
    }

    /// Handles the loss of an attempt's backend or replica. After the first token the stream is truncated; before it
    /// the request is retried if the retry rules allow it, and fails otherwise.
    pub(crate) fn handle_lost_attempt(&mut self, id: u64) {
        let Some(attempt) = self.cancel_attempt(id) else {
            return;
        };
        if attempt.first_token.is_some() {
            if let Some(request) = self.requests.remove(&id)
                && self.metrics.includes(request.arrived)
            {
                self.metrics.truncated += 1;
            }
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.failed_hosts.push(attempt.host);
        }
        if self.may_retry(id) {
            self.send(id);
        } else {
            self.fail(id);
        }
    }
}
