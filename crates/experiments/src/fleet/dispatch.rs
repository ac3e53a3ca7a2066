//! Requests on their way to backends: choice, attempts, retries, ends.

use millford_backend_model::RunRequest;
use millford_routing::EjectionReason;
use rand::Rng;

use crate::fleet::event::Event;
use crate::fleet::host::run_model;
use crate::fleet::proxy_node::{ChoiceInput, Chosen};
use crate::fleet::request::{Attempt, Request};
use crate::fleet::simulation::Simulation;
use crate::fleet::workload::Prompt;

impl Simulation {
    /// Takes a request in at a random proxy and sends its first attempt.
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

    /// Sends the next attempt, or fails the request when nothing takes it.
    fn send(&mut self, id: u64) {
        while let Some(chosen) = self.choose(id) {
            self.count_send(id);
            if self.start_attempt(id, &chosen) {
                return;
            }
            if !self.may_send_again(id) {
                break;
            }
        }
        self.fail(id);
    }

    fn choose(&mut self, id: u64) -> Option<Chosen> {
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

    fn count_send(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts += 1;
        let counts = self.metrics.counts(request.arrived);
        if request.attempts == 1 {
            self.proxies[request.proxy].budget.earn();
            self.metrics.first_sends += u64::from(counts);
        } else {
            self.metrics.second_sends += u64::from(counts);
        }
    }

    /// Whether the attempt runs. A dead or full host fails it at once.
    fn start_attempt(&mut self, id: u64, chosen: &Chosen) -> bool {
        self.advance_host(chosen.host);
        let run = self.next_run;
        self.next_run += 1;
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let host = &mut self.hosts[chosen.host];
        let proxy = &self.proxies[request.proxy];
        if !host.alive {
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
        if self.metrics.counts(request.arrived) {
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
        self.proxies[request.proxy].own_open[chosen.host] += 1;
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
        self.record_late_send(chosen.host);
        self.reschedule_host(chosen.host);
        true
    }

    fn record_late_send(&mut self, host: usize) {
        if let Some(retired) = self.retired_at.get(&host) {
            let late = self.now.since(*retired);
            self.metrics.longest_late_send = self.metrics.longest_late_send.max(late);
        }
    }

    fn may_send_again(&mut self, id: u64) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let rules = &self.options.retries;
        let allowed = request.attempts < rules.most_attempts;
        allowed && (!rules.budgeted || self.proxies[request.proxy].budget.try_spend())
    }

    /// Gives up the attempt under way and takes it off its host.
    fn drop_attempt(&mut self, id: u64) -> Option<Attempt> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempt.take()?;
        self.proxies[request.proxy].own_open[attempt.host] -= 1;
        self.runs.remove(&attempt.run);
        if self.hosts[attempt.host].alive {
            self.advance_host(attempt.host);
            self.hosts[attempt.host].backend.cancel(attempt.run);
            self.reschedule_host(attempt.host);
        }
        Some(attempt)
    }

    /// An attempt has no first token in time: another backend, if the retry rules allow it.
    pub(crate) fn attempt_timed_out(&mut self, id: u64, attempt: u32) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let unanswered = request
            .attempt
            .as_ref()
            .is_some_and(|current| current.first_token.is_none());
        if !unanswered || request.attempts != attempt || !self.may_send_again(id) {
            return;
        }
        let Some(dropped) = self.drop_attempt(id) else {
            return;
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.failed_hosts.push(dropped.host);
        }
        self.send(id);
    }

    /// The caller gives up unless the first token has arrived.
    pub(crate) fn deadline(&mut self, id: u64) {
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
        self.drop_attempt(id);
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

    /// The attempt's backend or replica is lost: truncated after the first token, retried before it.
    pub(crate) fn lose_attempt(&mut self, id: u64) {
        let Some(attempt) = self.drop_attempt(id) else {
            return;
        };
        if attempt.first_token.is_some() {
            if let Some(request) = self.requests.remove(&id)
                && self.metrics.counts(request.arrived)
            {
                self.metrics.truncated += 1;
            }
            return;
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.failed_hosts.push(attempt.host);
        }
        if self.may_send_again(id) {
            self.send(id);
        } else {
            self.fail(id);
        }
    }
}
