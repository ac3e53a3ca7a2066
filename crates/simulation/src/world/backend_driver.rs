//! Drives the simulated backends: requests, withdrawals, probes and the timing of answers.

use std::ops::Range;
use std::time::Duration;

use bytes::Bytes;
use millford_proxy::request::message::{AnswerHead, BackendRequest, Framing, WithdrawAnswer};
use rand::Rng;

use crate::history::{BackendNumber, ContentNumber, Record};
use crate::network::{HttpPacket, LinkNumber, Packet, ProcessId};
use crate::scenario::AnswerFault;
use crate::world::answer_driver::StreamProgress;
use crate::world::backend::request_text::{contains_key, content_of, is_stream};
use crate::world::backend::{Answering, BackendKind, BackendProcess, attempt_number, run_number};
use crate::world::process_input::ProcessInput;
use crate::world::simulation::Simulation;

/// Range of the time to the first chunk of a model's answer, in microseconds.
const FIRST_CHUNK_MICROS: Range<u64> = 40_000..400_000;
/// Range of the time between two chunks, in microseconds.
const NEXT_CHUNK_MICROS: Range<u64> = 30_000..90_000;
/// Range of the time to the answer of a lookup, in microseconds.
const LOOKUP_MICROS: Range<u64> = 2_000..20_000;
/// Range of the time to the start of a late answer, in microseconds.
const LATE_MICROS: Range<u64> = 1_500_000..7_000_000;
/// Share of answers that are faulty while an answer fault is active.
const FAULT_SHARE: f64 = 0.35;
/// Share of requests that a backend refuses before any work.
const REFUSAL_SHARE: f64 = 0.01;
/// Additional share of resumptions that a backend refuses.
const RESUME_REFUSED_SHARE: f64 = 0.1;
/// Share of resumptions that a backend answers from the start.
const RESUME_IGNORED_SHARE: f64 = 0.1;
const UNAVAILABLE: u16 = 503;

impl Simulation {
    /// Adds a backend that has not started, and returns its number.
    pub(super) fn add_backend(&mut self, kind: BackendKind) -> u16 {
        let number = self.backends.keys().next_back().map_or(1, |last| last + 1);
        let backend = BackendProcess::new(self.new_process(), kind);
        self.backends.insert(number, backend);
        number
    }

    /// Starts a new incarnation of a backend.
    pub(super) fn start_backend(&mut self, number: u16) {
        let now = self.now();
        if let Some(backend) = self.backends.get_mut(&number) {
            backend.start(now);
        }
    }

    /// Handles the end of a backend's process.
    pub(super) fn backend_exited(&mut self, number: u16) {
        if let Some(backend) = self.backends.get_mut(&number) {
            backend.drop_work();
        }
    }

    /// Passes an input to a backend.
    pub(super) fn backend_input(&mut self, number: u16, input: ProcessInput) {
        match input {
            ProcessInput::Packet {
                link,
                packet: Packet::Http(packet),
            } => self.backend_packet(number, link, packet),
            ProcessInput::LinkClosed { link } => {
                if let Some(backend) = self.backends.get_mut(&number) {
                    backend.take_work(link);
                }
            }
            ProcessInput::Work { link } => self.continue_answer(number, link),
            _ => {}
        }
    }

    fn backend_packet(&mut self, number: u16, link: LinkNumber, packet: HttpPacket) {
        match packet {
            HttpPacket::Request(request) => self.backend_request(number, link, &request),
            HttpPacket::Withdraw { attempt, age } => {
                let answer = self.withdraw_attempt(number, attempt, age);
                self.send_from_backend(number, link, HttpPacket::WithdrawAnswer(answer));
            }
            HttpPacket::Probe => self.send_from_backend(number, link, HttpPacket::ProbeAnswer),
            _ => {}
        }
    }

    fn withdraw_attempt(&mut self, number: u16, attempt: String, age: Duration) -> WithdrawAnswer {
        let now = self.now();
        match self.backends.get_mut(&number) {
            Some(backend) => backend.withdraw(attempt, age, now),
            None => WithdrawAnswer::Unknown,
        }
    }

    fn backend_request(&mut self, number: u16, link: LinkNumber, request: &BackendRequest) {
        let backend = BackendNumber(number);
        let attempt = attempt_number(&request.attempt);
        let key_seen = contains_key(request);
        self.record(&Record::BackendReceived {
            backend,
            attempt,
            key_seen,
        });
        let withdrawn = self
            .backends
            .get(&number)
            .is_some_and(|backend| backend.is_withdrawn(&request.attempt));
        let resumes = request.resume_from.is_some();
        let refused = self.random.random_bool(REFUSAL_SHARE)
            || (resumes && self.random.random_bool(RESUME_REFUSED_SHARE));
        if withdrawn || refused {
            self.refuse_request(number, link, request);
            return;
        }
        let Some(content) = content_of(request) else {
            self.refuse_request(number, link, request);
            return;
        };
        let answering = self.answering(request, content);
        self.record(&Record::BackendStarted {
            backend,
            attempt,
            content,
            run: answering.run_number,
            from: answering.next,
        });
        self.recent_runs.push(answering.clone());
        let delay = self.first_delay(number, &answering);
        if let Some(it) = self.backends.get_mut(&number) {
            it.start_work(link, answering);
        }
        self.work_after(number, link, delay);
    }

    fn answering(&mut self, request: &BackendRequest, content: ContentNumber) -> Answering {
        let stream = is_stream(&request.body);
        let total = Answering::chunk_count(content, stream);
        let resume = request.resume_from.map(|from| from.0);
        // A backend without support for resumption starts over and does not confirm a position.
        let ignored = resume.is_some() && self.random.random_bool(RESUME_IGNORED_SHARE);
        let resume_at = resume.filter(|_| !ignored);
        Answering {
            number: attempt_number(&request.attempt),
            attempt: request.attempt.clone(),
            content,
            run_number: run_number(&request.run),
            run: request.run.clone(),
            stream,
            next: resume_at.unwrap_or(0),
            total,
            resume_at,
            head_sent: false,
            fault: self.draw_answer_fault(),
        }
    }

    fn draw_answer_fault(&mut self) -> Option<AnswerFault> {
        let active = self.faults.answer_faults();
        if active.is_empty() || !self.random.random_bool(FAULT_SHARE) {
            return None;
        }
        let index = self.random.random_range(0..active.len());
        Some(active[index])
    }

    /// Draws a recent run of another content; `None` if there is none.
    pub(super) fn draw_other_run(&mut self, content: ContentNumber) -> Option<Answering> {
        self.recent_runs.draw_other(content, &mut self.random)
    }

    fn first_delay(&mut self, number: u16, answering: &Answering) -> Duration {
        let kind = self.backends.get(&number).map(|backend| backend.kind);
        let range = match (kind, answering.fault) {
            (_, Some(AnswerFault::Late)) => LATE_MICROS,
            (Some(BackendKind::Lookup), _) => LOOKUP_MICROS,
            _ => FIRST_CHUNK_MICROS,
        };
        Duration::from_micros(self.random.random_range(range))
    }

    fn work_after(&mut self, number: u16, link: LinkNumber, delay: Duration) {
        let process = ProcessId::Backend(number);
        let incarnation = self.incarnation_of(process);
        let input = ProcessInput::Work { link };
        self.schedule_input(delay, process, incarnation, input);
    }

    fn refuse_request(&mut self, number: u16, link: LinkNumber, request: &BackendRequest) {
        let head = AnswerHead {
            status: UNAVAILABLE,
            attempt: Some(request.attempt.clone()),
            not_run: true,
            resume_at: None,
            retry_after_ms: None,
            content_type: "application/json".to_owned(),
            framing: Framing::Length(2),
        };
        self.send_from_backend(number, link, HttpPacket::Head(Box::new(head)));
        self.send_from_backend(number, link, HttpPacket::Body(Bytes::from_static(b"{}")));
        self.send_from_backend(number, link, HttpPacket::Finish);
    }

    fn continue_answer(&mut self, number: u16, link: LinkNumber) {
        let Some(backend) = self.backends.get_mut(&number) else {
            return;
        };
        let Some(mut work) = backend.take_work(link) else {
            return;
        };
        if !work.stream {
            self.send_unstreamed_answer(number, link, &work);
            return;
        }
        if self.stream_step(number, link, &mut work) == StreamProgress::Ended {
            return;
        }
        if let Some(backend) = self.backends.get_mut(&number) {
            backend.continue_work(link, work);
        }
        let delay = Duration::from_micros(self.random.random_range(NEXT_CHUNK_MICROS));
        self.work_after(number, link, delay);
    }

    /// Records that a backend completed an attempt.
    pub(super) fn finish_work(&mut self, number: u16, work: &Answering) {
        if let Some(backend) = self.backends.get_mut(&number) {
            backend.finish(work.attempt.clone());
        }
        self.record(&Record::BackendFinished {
            attempt: work.number,
            content: work.content,
            chunks: work.total,
        });
    }

    /// Sends a packet of a backend on a connection.
    pub(super) fn send_from_backend(&mut self, number: u16, link: LinkNumber, packet: HttpPacket) {
        let now = self.now();
        let process = ProcessId::Backend(number);
        self.send_packet(process, link, Packet::Http(packet), now);
    }
}
