//! Answers of simulated backends, correct and faulty.

use bytes::Bytes;
use millford_proxy::request::message::{AnswerHead, Framing};
use rand::Rng;

use crate::network::{HttpPacket, LinkNumber, ProcessId};
use crate::scenario::AnswerFault;
use crate::world::backend::{Answering, chunk_text};
use crate::world::proxy::MAX_ANSWER_BYTES;
use crate::world::simulation::Simulation;

const OK: u16 = 200;

/// Size of an event or answer that is larger than any limit, in bytes. The backend goes on until the proxy closes the
/// connection; the proxy does so at its limit, so that the simulation need not send more.
const ENDLESS_BYTES: usize = 2 * MAX_ANSWER_BYTES;

/// Whether a stream continues.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamProgress {
    /// More chunks follow.
    Open,
    /// The stream ended and its connection is closed.
    Ended,
}

impl Simulation {
    /// Sends the answer to a request that does not stream, with the fault that was drawn for it.
    pub(super) fn send_unstreamed_answer(
        &mut self,
        number: u16,
        link: LinkNumber,
        work: &Answering,
    ) {
        self.finish_work(number, work);
        let process = ProcessId::Backend(number);
        if work.fault == Some(AnswerFault::Lost) {
            self.close_link(process, link);
            return;
        }
        let mut answering = work.clone();
        if work.fault == Some(AnswerFault::Crossed)
            && let Some(other) = self.draw_other_run(work.content)
        {
            answering = other;
        }
        let text = chunk_text(&answering.chunk(0));
        let body = format!(
            "{{\"choices\":[{{\"message\":{{\"role\":\"assistant\",\"content\":\"{text}\"}}}}]}}"
        );
        let truncated = work.fault == Some(AnswerFault::Truncated);
        let unframed = truncated && self.random.random_bool(0.5);
        let framing = if unframed {
            Framing::UntilClose
        } else {
            Framing::Length(body.len() as u64)
        };
        let head = head_of(&answering, "application/json", framing);
        self.send_from_backend(number, link, HttpPacket::Head(Box::new(head)));
        let mut bytes = Bytes::from(body);
        if work.fault == Some(AnswerFault::Endless) {
            self.send_from_backend(number, link, HttpPacket::Body(endless_bytes()));
            return;
        }
        if truncated {
            bytes.truncate(bytes.len() / 2);
        }
        self.send_from_backend(number, link, HttpPacket::Body(bytes));
        if !truncated || unframed {
            self.send_from_backend(number, link, HttpPacket::Finish);
        }
        self.close_link(process, link);
    }

    /// Sends the next chunk of a stream, and after the last one the end. Applies the fault that was drawn.
    pub(super) fn stream_step(
        &mut self,
        number: u16,
        link: LinkNumber,
        work: &mut Answering,
    ) -> StreamProgress {
        if work.fault == Some(AnswerFault::Lost) {
            self.finish_work(number, work);
            self.close_link(ProcessId::Backend(number), link);
            return StreamProgress::Ended;
        }
        if !work.head_sent {
            work.head_sent = true;
            if work.fault == Some(AnswerFault::Crossed) {
                self.cross_streams(work);
            }
            let head = head_of(work, "text/event-stream", Framing::Chunked);
            self.send_from_backend(number, link, HttpPacket::Head(Box::new(head)));
        }
        if work.next < work.total {
            self.send_chunk(number, link, work, work.next);
            work.next += 1;
        }
        if work.next < work.total {
            return self.apply_stream_fault(number, link, work);
        }
        self.end_stream(number, link, work);
        StreamProgress::Ended
    }

    /// Replaces the rest of the answer by that of another run, with or without the other attempt id.
    fn cross_streams(&mut self, work: &mut Answering) {
        let Some(other) = self.draw_other_run(work.content) else {
            return;
        };
        if self.random.random_bool(0.5) {
            work.attempt = other.attempt;
        }
        work.content = other.content;
        work.run = other.run;
        work.run_number = other.run_number;
    }

    /// Applies the faults that take effect once half of the stream was sent.
    fn apply_stream_fault(
        &mut self,
        number: u16,
        link: LinkNumber,
        work: &mut Answering,
    ) -> StreamProgress {
        if !work.is_half_done() {
            return StreamProgress::Open;
        }
        match work.fault {
            Some(AnswerFault::Truncated) => {
                if self.random.random_bool(0.5) {
                    self.send_from_backend(number, link, HttpPacket::Finish);
                }
                self.close_link(ProcessId::Backend(number), link);
                return StreamProgress::Ended;
            }
            Some(AnswerFault::Stray) => {
                if let Some(other) = self.draw_other_run(work.content) {
                    self.send_chunk(number, link, &other, work.next);
                }
                work.fault = None;
            }
            Some(AnswerFault::Endless) => {
                self.send_from_backend(number, link, HttpPacket::Body(endless_bytes()));
                work.fault = None;
            }
            Some(AnswerFault::Skipped) => {
                // The last chunk is never left out: without it, the end marker would hide the gap.
                if self.random.random_bool(0.5) && work.next + 1 < work.total {
                    work.next += 1;
                } else {
                    work.next = work.next.saturating_sub(1);
                }
                work.fault = None;
            }
            _ => {}
        }
        StreamProgress::Open
    }

    fn end_stream(&mut self, number: u16, link: LinkNumber, work: &Answering) {
        self.finish_work(number, work);
        let mut end = String::from("data: [DONE]\n\n");
        if work.fault == Some(AnswerFault::Stray) {
            end.push_str("data: {\"stray\":true}\n\n");
        }
        self.send_from_backend(number, link, HttpPacket::Body(Bytes::from(end)));
        self.send_from_backend(number, link, HttpPacket::Finish);
        self.close_link(ProcessId::Backend(number), link);
    }

    fn send_chunk(&mut self, number: u16, link: LinkNumber, work: &Answering, sequence: u64) {
        let text = chunk_text(&work.chunk(sequence));
        let run = &work.run;
        let event = format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}}}}],\
             \"millford\":{{\"run\":\"{run}\",\"seq\":{sequence}}}}}\n\n"
        );
        self.send_from_backend(number, link, HttpPacket::Body(Bytes::from(event)));
    }
}

/// Returns the start of an event, or of a plain answer, that has no end.
fn endless_bytes() -> Bytes {
    let mut bytes = b"data: ".to_vec();
    bytes.resize(ENDLESS_BYTES, b'x');
    Bytes::from(bytes)
}

fn head_of(work: &Answering, content_type: &str, framing: Framing) -> AnswerHead {
    AnswerHead {
        status: OK,
        attempt: Some(work.attempt.clone()),
        not_run: false,
        resume_at: work.resume_at,
        retry_after_ms: None,
        content_type: content_type.to_owned(),
        framing,
    }
}
