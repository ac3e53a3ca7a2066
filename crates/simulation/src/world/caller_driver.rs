//! Drives the callers: sends client requests to the proxies and delivers the answers.

use std::ops::Range;
use std::time::Duration;

use millford_proxy::request::caller::CallerHead;
use rand::Rng;

use crate::history::{Record, RequestEnd, RequestNumber, RequestSent};
use crate::network::ProcessId;
use crate::world::callers::Submission;
use crate::world::client_request::{ArrivingRequest, RequestKind, http_request};
use crate::world::event::{CallerDelivery, Event};
use crate::world::process_input::ProcessInput;
use crate::world::received_answer::inject_chunk_defect;
use crate::world::simulation::Simulation;

/// Time to the first request; also the interval at which a rate of 0 is checked again.
const FIRST_REQUEST_AFTER: Duration = Duration::from_millis(500);
/// Range of the network delay between a caller and a proxy, in microseconds.
const CALLER_DELAY_MICROS: Range<u64> = 200..2_000;
/// Time after which a caller stops waiting for the answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(25);
/// A caller that disconnects early does so after [`CALLER_TIMEOUT`] divided by this.
const EARLY_DISCONNECT_DIVISOR: u32 = 25;
/// Share of callers that disconnect early.
const EARLY_DISCONNECT_SHARE: f64 = 0.02;
/// Range of the time from a failure to the resend, in microseconds.
const RESEND_MICROS: Range<u64> = 50_000..1_500_000;
/// Share of requests with an idempotency key that are sent to two proxy nodes at the same time.
const DOUBLE_SEND_SHARE: f64 = 0.05;

impl Simulation {
    /// Starts the callers' traffic.
    pub(super) fn start_callers(&mut self) {
        let workload = self.scenario.workload;
        for tenant in 0..self.topology.tenants {
            self.record(&Record::Quota {
                tenant,
                per_second: workload.quota_per_second,
                burst: workload.quota_burst,
            });
        }
        self.schedule_after(FIRST_REQUEST_AFTER, Event::CallerSends { lookup: false });
        self.schedule_after(FIRST_REQUEST_AFTER, Event::CallerSends { lookup: true });
    }

    /// Sends a new request of a caller and schedules the next one.
    pub(super) fn send_next_request(&mut self, lookup: bool) {
        let Some(gap) = self.callers.draw_gap(lookup, &mut self.random) else {
            self.schedule_after(FIRST_REQUEST_AFTER, Event::CallerSends { lookup });
            return;
        };
        self.schedule_after(gap, Event::CallerSends { lookup });
        let submission = self.callers.draw_submission(lookup, &mut self.random);
        self.send_request(submission);
        if matches!(submission.kind, RequestKind::Once { keyed: true, .. })
            && self.random.random_bool(DOUBLE_SEND_SHARE)
        {
            // Simulates a caller that retries at once: the same request is sent to two nodes.
            self.send_request(Submission {
                sends: submission.sends + 1,
                ..submission
            });
        }
    }

    fn send_request(&mut self, submission: Submission) {
        let now = self.now();
        let sent = self.callers.open(submission, now, &mut self.random);
        self.record(&Record::RequestSent(sent));
        self.deliver_request(sent, submission.kind);
    }

    fn deliver_request(&mut self, sent: RequestSent, kind: RequestKind) {
        let process = ProcessId::Proxy(sent.proxy_node.0);
        let incarnation = self.incarnation_of(process);
        let delay = self.caller_delay();
        let client_request = sent.client_request;
        let down = self.faults.is_machine_down(process.machine());
        if incarnation == 0 && !down {
            // The machine is up but the proxy does not run, so the connection is refused at once and the
            // caller can tell that nothing was sent.
            let delivery = CallerDelivery::lost();
            self.schedule_after(
                delay,
                Event::CallerReceives {
                    client_request,
                    delivery,
                },
            );
            return;
        }
        let arriving = ArrivingRequest {
            client_request,
            request: http_request(&sent, kind),
            lookup: kind == RequestKind::Lookup,
        };
        let input = ProcessInput::ClientRequest(Box::new(arriving));
        self.schedule_input(delay, process, incarnation, input);
        let timeout = if self.random.random_bool(EARLY_DISCONNECT_SHARE) {
            CALLER_TIMEOUT / EARLY_DISCONNECT_DIVISOR
        } else {
            CALLER_TIMEOUT
        };
        self.schedule_after(timeout, Event::CallerTimeout { client_request });
    }

    fn caller_delay(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(CALLER_DELAY_MICROS))
    }

    /// Handles a caller's timeout: the caller closes its connection.
    pub(super) fn handle_caller_timeout(&mut self, client_request: RequestNumber) {
        let Some(open) = self.callers.waiting(client_request) else {
            return;
        };
        let process = ProcessId::Proxy(open.sent.proxy_node.0);
        let incarnation = self.incarnation_of(process);
        let delay = self.caller_delay();
        let input = ProcessInput::CallerDisconnected(client_request);
        self.schedule_input(delay, process, incarnation, input);
        self.deliver_to_caller(client_request, CallerDelivery::lost());
    }

    /// Handles the head of an answer that a proxy sends.
    pub(super) fn send_caller_head(&mut self, client_request: RequestNumber, head: &CallerHead) {
        self.callers.receive_head(client_request, head);
    }

    /// Handles a part of an answer's body that a proxy sends.
    pub(super) fn send_caller_bytes(&mut self, client_request: RequestNumber, bytes: &[u8]) {
        for chunk in self.callers.receive_bytes(client_request, bytes) {
            if let Some(chunk) = inject_chunk_defect(self.options.defect, chunk) {
                self.send_to_caller(client_request, CallerDelivery::Chunk(chunk));
            }
        }
    }

    /// Handles the end of an answer; `complete` is whether its framing was complete.
    pub(super) fn end_caller_answer(&mut self, client_request: RequestNumber, complete: bool) {
        let Some(answer) = self.callers.finish_answer(client_request, complete) else {
            return;
        };
        for chunk in answer.chunks {
            self.send_to_caller(client_request, CallerDelivery::Chunk(chunk));
        }
        let delivery = CallerDelivery::End {
            end: answer.end,
            revision: answer.revision,
        };
        self.send_to_caller(client_request, delivery);
    }

    /// Sends a chunk or the end to a caller. It arrives after everything that was sent before.
    pub(super) fn send_to_caller(
        &mut self,
        client_request: RequestNumber,
        delivery: CallerDelivery,
    ) {
        let delay = self.caller_delay();
        let earliest = self.now() + delay;
        let Some(at) = self.callers.arrival(client_request, earliest) else {
            return;
        };
        let event = Event::CallerReceives {
            client_request,
            delivery,
        };
        self.queue.push(at, event);
    }

    /// Handles a chunk or the end that reaches a caller.
    pub(super) fn deliver_to_caller(
        &mut self,
        client_request: RequestNumber,
        delivery: CallerDelivery,
    ) {
        if self.callers.waiting(client_request).is_none() {
            return;
        }
        match delivery {
            CallerDelivery::Chunk(chunk) => self.record(&Record::ChunkReceived {
                client_request,
                chunk,
            }),
            CallerDelivery::End { end, revision } => {
                self.record(&Record::RequestEnded {
                    client_request,
                    end,
                    revision,
                });
                self.end_request(client_request, end);
            }
        }
    }

    fn end_request(&mut self, client_request: RequestNumber, end: RequestEnd) {
        if self.callers.end(client_request, end, &mut self.random) {
            let delay = Duration::from_micros(self.random.random_range(RESEND_MICROS));
            self.schedule_after(delay, Event::CallerResends { client_request });
        }
    }

    /// Sends a request again, to a random proxy node.
    pub(super) fn resend_request(&mut self, client_request: RequestNumber) {
        if let Some(submission) = self.callers.resubmit(client_request) {
            self.send_request(submission);
        }
    }
}
