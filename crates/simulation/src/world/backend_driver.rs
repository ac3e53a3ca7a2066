//! What simulated backends do.

use std::time::Duration;

use bytes::Bytes;
use millford_proxy::request::message::{AnswerHead, BackendRequest, Framing, WithdrawAnswer};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::history::{AttemptNumber, BackendNumber, ContentNumber, Record};
use crate::network::{HttpPacket, LinkNumber, Packet, ProcessId};
use crate::scenario::AnswerFault;
use crate::world::backend::{Answering, BackendProcess};
use crate::world::callers::KEY_PREFIX;
use crate::world::event::Event;
use crate::world::process_input::ProcessInput;
use crate::world::site::Site;

const FIRST_CHUNK_MICROS: std::ops::Range<u64> = 40_000..400_000;
const NEXT_CHUNK_MICROS: std::ops::Range<u64> = 30_000..90_000;
const LOOKUP_MICROS: std::ops::Range<u64> = 2_000..20_000;
const LATE_MICROS: std::ops::Range<u64> = 1_500_000..7_000_000;
const FAULT_SHARE: f64 = 0.35;
const REFUSAL_SHARE: f64 = 0.01;
const RESUME_REFUSED_SHARE: f64 = 0.1;
const RESUME_IGNORED_SHARE: f64 = 0.1;
const UNAVAILABLE: u16 = 503;
const RECENT_RUNS: usize = 8;

/// Number of an attempt in the history.
#[must_use]
pub fn attempt_number(attempt: &str) -> AttemptNumber {
    AttemptNumber(xxh3_64(attempt.as_bytes()))
}

/// Number of a run in the history.
#[must_use]
pub fn run_number(run: &str) -> u64 {
    xxh3_64(run.as_bytes())
}

impl Site {
    /// Adds a backend with a new number.
    pub fn add_backend(&mut self, lookup: bool) -> u16 {
        let number = self.backends.keys().next_back().map_or(1, |last| last + 1);
        let backend = BackendProcess::new(self.new_process(), lookup);
        self.backends.insert(number, backend);
        number
    }

    /// The backend starts afresh: it knows nothing of earlier attempts.
    pub fn start_backend(&mut self, number: u16) {
        let now = self.now();
        if let Some(backend) = self.backends.get_mut(&number) {
            backend.started_at = now;
            backend.work.clear();
            backend.withdrawn.clear();
            backend.started.clear();
            backend.finished.clear();
        }
    }

    /// The backend died.
    pub fn backend_died(&mut self, number: u16) {
        if let Some(backend) = self.backends.get_mut(&number) {
            backend.work.clear();
        }
    }

    /// Hands an input to a backend.
    pub fn backend_input(&mut self, number: u16, input: ProcessInput) {
        match input {
            ProcessInput::Packet {
                link,
                packet: Packet::Http(packet),
            } => self.backend_packet(number, link, packet),
            ProcessInput::LinkClosed { link } => {
                if let Some(backend) = self.backends.get_mut(&number) {
                    backend.work.remove(&link);
                }
            }
            ProcessInput::Work { link } => self.backend_works(number, link),
            _ => {}
        }
    }

    fn backend_packet(&mut self, number: u16, link: LinkNumber, packet: HttpPacket) {
        match packet {
            HttpPacket::Request(request) => self.backend_request(number, link, *request),
            HttpPacket::Withdraw { attempt, age } => {
                let answer = self.withdraw_attempt(number, attempt, age);
                self.backend_sends(number, link, HttpPacket::WithdrawAnswer(answer));
            }
            HttpPacket::Probe => self.backend_sends(number, link, HttpPacket::ProbeAnswer),
            _ => {}
        }
    }

    fn withdraw_attempt(&mut self, number: u16, attempt: String, age: Duration) -> WithdrawAnswer {
        let now = self.now();
        let Some(backend) = self.backends.get_mut(&number) else {
            return WithdrawAnswer::Unknown;
        };
        if backend.finished.contains(&attempt) {
            return WithdrawAnswer::Finished;
        }
        // A run that was broken off began all the same.
        if backend.started.contains(&attempt) {
            return WithdrawAnswer::Running;
        }
        backend.withdrawn.insert(attempt);
        // Its former incarnation may have run an attempt older than itself.
        match now.since(backend.started_at) >= age {
            true => WithdrawAnswer::Withdrawn,
            false => WithdrawAnswer::Unknown,
        }
    }

    fn backend_request(&mut self, number: u16, link: LinkNumber, request: BackendRequest) {
        let backend = BackendNumber(number);
        let attempt = attempt_number(&request.attempt);
        let key_seen = holds_key(&request);
        self.record(Record::BackendReceived {
            backend,
            attempt,
            key_seen,
        });
        let withdrawn = self
            .backends
            .get(&number)
            .is_some_and(|backend| backend.withdrawn.contains(&request.attempt));
        let resumes = request.resume_from.is_some();
        let refused = self.random.random_bool(REFUSAL_SHARE)
            || (resumes && self.random.random_bool(RESUME_REFUSED_SHARE));
        if withdrawn || refused {
            self.backend_refuses(number, link, &request);
            return;
        }
        let Some(content) = content_of(&request) else {
            self.backend_refuses(number, link, &request);
            return;
        };
        let answering = self.answering(&request, content);
        self.record(Record::BackendStarted {
            backend,
            attempt,
            content,
            run: answering.run_number,
            from: answering.next,
        });
        self.remember_run(&answering);
        let delay = self.first_delay(number, &answering);
        if let Some(it) = self.backends.get_mut(&number) {
            it.started.insert(answering.attempt.clone());
            it.work.insert(link, answering);
        }
        self.work_after(number, link, delay);
    }

    fn answering(&mut self, request: &BackendRequest, content: ContentNumber) -> Answering {
        let stream = is_stream(&request.body);
        let total = Answering::chunk_count(content, stream);
        let resume = request.resume_from.map(|from| from.0);
        // A backend that does not know resumption starts over and confirms nothing.
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

    fn remember_run(&mut self, answering: &Answering) {
        let recent = &mut self.faults.recent_runs;
        recent.push_back(answering.clone());
        if recent.len() > RECENT_RUNS {
            recent.pop_front();
        }
    }

    pub(super) fn another_run(&mut self, content: ContentNumber) -> Option<Answering> {
        let recent = &self.faults.recent_runs;
        let others: Vec<&Answering> = recent.iter().filter(|it| it.content != content).collect();
        if others.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..others.len());
        Some(others[index].clone())
    }

    fn first_delay(&mut self, number: u16, answering: &Answering) -> Duration {
        let lookup = self.backends.get(&number).is_some_and(|it| it.lookup);
        let range = match (lookup, answering.fault) {
            (_, Some(AnswerFault::Late)) => LATE_MICROS,
            (true, _) => LOOKUP_MICROS,
            (false, _) => FIRST_CHUNK_MICROS,
        };
        Duration::from_micros(self.random.random_range(range))
    }

    fn work_after(&mut self, number: u16, link: LinkNumber, delay: Duration) {
        let process = ProcessId::Backend(number);
        let incarnation = self.incarnation_of(process);
        let input = ProcessInput::Work { link };
        self.schedule_after(
            delay,
            Event::Input {
                process,
                incarnation,
                input,
            },
        );
    }

    fn backend_refuses(&mut self, number: u16, link: LinkNumber, request: &BackendRequest) {
        let head = AnswerHead {
            status: UNAVAILABLE,
            attempt: Some(request.attempt.clone()),
            not_run: true,
            resume_at: None,
            retry_after_ms: None,
            content_type: "application/json".to_owned(),
            framing: Framing::Length(2),
        };
        self.backend_sends(number, link, HttpPacket::Head(Box::new(head)));
        self.backend_sends(number, link, HttpPacket::Chunk(Bytes::from_static(b"{}")));
        self.backend_sends(number, link, HttpPacket::Finish);
    }

    fn backend_works(&mut self, number: u16, link: LinkNumber) {
        let Some(backend) = self.backends.get_mut(&number) else {
            return;
        };
        let Some(mut work) = backend.work.remove(&link) else {
            return;
        };
        let goes_on = match work.stream {
            true => self.stream_step(number, link, &mut work),
            false => self.plain_answer(number, link, &mut work),
        };
        if !goes_on {
            return;
        }
        if let Some(backend) = self.backends.get_mut(&number) {
            backend.work.insert(link, work);
        }
        let delay = Duration::from_micros(self.random.random_range(NEXT_CHUNK_MICROS));
        self.work_after(number, link, delay);
    }

    pub(super) fn finish_work(&mut self, number: u16, work: &Answering) {
        if let Some(backend) = self.backends.get_mut(&number) {
            backend.finished.insert(work.attempt.clone());
        }
        self.record(Record::BackendFinished {
            attempt: work.number,
            content: work.content,
            chunks: work.total,
        });
    }

    pub(super) fn backend_sends(&mut self, number: u16, link: LinkNumber, packet: HttpPacket) {
        let now = self.now();
        let process = ProcessId::Backend(number);
        self.send_packet(process, link, Packet::Http(packet), now);
    }
}

fn content_of(request: &BackendRequest) -> Option<ContentNumber> {
    let body = String::from_utf8_lossy(&request.body);
    let text = match request.body.is_empty() {
        true => request.path.as_str(),
        false => &body,
    };
    let rest = text.split_once("content-")?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok().map(ContentNumber)
}

fn is_stream(body: &[u8]) -> bool {
    String::from_utf8_lossy(body).contains("\"stream\":true")
}

fn holds_key(request: &BackendRequest) -> bool {
    let body = String::from_utf8_lossy(&request.body);
    let texts = [
        body.as_ref(),
        &request.path,
        &request.attempt,
        &request.run,
        &request.stage,
        &request.adapter,
    ];
    texts.iter().any(|text| text.contains(KEY_PREFIX))
}
