//! Sends client requests to the proxies and delivers answers to their callers.

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
use crate::world::received_answer::planted_chunk;
use crate::world::site::Site;

/// When the first request is sent, and how often a rate of 0 is looked at again.
const FIRST_REQUEST_AFTER: Duration = Duration::from_millis(500);
/// Delay between a caller and a proxy, in microseconds.
const CALLER_DELAY_MICROS: Range<u64> = 200..2_000;
/// How long a caller waits for its answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(25);
/// Part of the timeout after which a caller of [`EARLY_DISCONNECT_SHARE`] disconnects.
const EARLY_DISCONNECT_DIVISOR: u32 = 25;
/// Share of callers that disconnect early.
const EARLY_DISCONNECT_SHARE: f64 = 0.02;
/// Time until a request is sent again, in microseconds.
const RESEND_MICROS: Range<u64> = 50_000..1_500_000;
/// Share of requests with an idempotency key that are sent twice at once.
const DOUBLE_SEND_SHARE: f64 = 0.05;

impl Site {
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

    /// A caller sends a new request, and the next one is scheduled.
    pub(super) fn caller_sends(&mut self, lookup: bool) {
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
            // An impatient caller: the same request at two nodes at once.
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
            // The connection is refused at once: the caller knows that nothing was sent.
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

    /// The caller gives up and closes its connection.
    pub(super) fn caller_times_out(&mut self, client_request: RequestNumber) {
        let Some(open) = self.callers.waiting(client_request) else {
            return;
        };
        let process = ProcessId::Proxy(open.sent.proxy_node.0);
        let incarnation = self.incarnation_of(process);
        let delay = self.caller_delay();
        let input = ProcessInput::CallerDisconnected(client_request);
        self.schedule_input(delay, process, incarnation, input);
        self.caller_receives(client_request, CallerDelivery::lost());
    }

    /// The proxy sends the head of an answer.
    pub(super) fn send_caller_head(&mut self, client_request: RequestNumber, head: &CallerHead) {
        self.callers.receive_head(client_request, head);
    }

    /// The proxy sends bytes of an answer.
    pub(super) fn send_caller_bytes(&mut self, client_request: RequestNumber, bytes: &[u8]) {
        for chunk in self.callers.receive_bytes(client_request, bytes) {
            if let Some(chunk) = planted_chunk(self.options.defect, chunk) {
                self.send_to_caller(client_request, CallerDelivery::Chunk(chunk));
            }
        }
    }

    /// The answer ends, complete or not.
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

    /// Sends a chunk or the end to the caller, to arrive after what was sent before.
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

    /// A chunk or the end reaches the caller.
    pub(super) fn caller_receives(
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

    /// A caller sends a request again, to any proxy node.
    pub(super) fn caller_resends(&mut self, client_request: RequestNumber) {
        if let Some(submission) = self.callers.resubmit(client_request) {
            self.send_request(submission);
        }
    }
}
