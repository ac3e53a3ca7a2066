//! Passes an answer's body on, and lets another backend go on with a stream.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http::response::Parts;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use millford_api::internal::CostSample;
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_decisions::Ending;
use millford_routing::InFlightGuard;
use tokio::time::Sleep;

use crate::backend::Lease;
use crate::mechanism::Mechanism;
use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;
use crate::request::answer_body::{AnswerBody, BrokenOff};
use crate::request::attempt::{AttemptFailure, Opened, attempt};
use crate::request::choose::choose;
use crate::request::event_splitter::EventSplitter;
use crate::request::first_answer::{Trail, outcome_of};
use crate::request::headers::remove_length;
use crate::request::plan::Plan;

/// Backends that may be tried to go on with a stream.
const MOST_RESUME_OFFERS: u32 = 4;

/// The answer for the caller: the backend's head, and its body as it comes.
///
/// The body is pulled by the caller's connection. When the caller leaves, the body is dropped, and
/// with it the connection to the backend: its work ends there too.
pub fn relay<P: ForwardProtocol>(
    node: Arc<ForwardNode<P>>,
    mut plan: Plan,
    trail: Trail,
    opened: Opened,
) -> Response<AnswerBody> {
    let (mut head, source) = Source::of(opened);
    let is_events = plan.is_resumable() && head.status.is_success();
    if is_events {
        // Another backend's part of the stream may have another length.
        remove_length(&mut head.headers);
    } else {
        // It is not sent again; a long stream need not keep a long prompt.
        plan.body = Bytes::new();
    }
    let left = plan.deadline.since(monotonic_now());
    let is_empty = source.body.is_end_stream();
    let ending = if head.status.is_success() {
        Ending::Complete
    } else {
        Ending::BackendFailure
    };
    let mut relay = Relay {
        ending,
        time_limit: Box::pin(tokio::time::sleep(left)),
        source,
        splitter: is_events.then(EventSplitter::default),
        last_event: plan.facts.resume_after,
        resumed: false,
        node,
        plan,
        trail,
        ended: false,
    };
    if is_empty {
        relay.finish();
    }
    let chunks = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(bytes)) => {
                relay.trail.trace.bytes();
                Some((Ok(Frame::data(bytes)), Some(relay)))
            }
            Ok(None) => None,
            Err(broken) => {
                relay.trail.trace.end(Ending::BrokenOff);
                Some((Err(broken), None))
            }
        }
    });
    Response::from_parts(head, BodyExt::boxed_unsync(StreamBody::new(chunks)))
}

/// What is held while a backend's part of the answer is read.
struct OpenedParts {
    lease: Option<Lease>,
    keep_alive: Option<Duration>,
    ticket: InFlightGuard,
    sent: MonotonicTime,
    queued_tokens: u64,
    streams: u32,
}

/// One backend's part of the answer.
struct Source {
    backend_id: String,
    body: Incoming,
    opened: OpenedParts,
    first_chunk: Option<MonotonicTime>,
    chunks: u32,
}

impl Source {
    /// Takes an answer apart: its head, and what is read from now on.
    fn of(opened: Opened) -> (Parts, Self) {
        let (head, body) = opened.response.into_parts();
        let source = Self {
            backend_id: opened.target.key.backend_id,
            body,
            opened: OpenedParts {
                lease: Some(opened.lease),
                keep_alive: opened.facts.keep_alive,
                ticket: opened.ticket,
                sent: opened.sent,
                queued_tokens: opened.queued_tokens,
                streams: opened.streams,
            },
            first_chunk: None,
            chunks: 0,
        };
        (head, source)
    }
}

struct Relay<P> {
    node: Arc<ForwardNode<P>>,
    plan: Plan,
    trail: Trail,
    source: Source,
    time_limit: Pin<Box<Sleep>>,
    /// Set for streams that another backend may continue.
    splitter: Option<EventSplitter>,
    /// Id of the last event that was passed on.
    last_event: Option<u64>,
    resumed: bool,
    ended: bool,
    /// What the decision record says once the answer is whole.
    ending: Ending,
}

impl<P> Drop for Relay<P> {
    fn drop(&mut self) {
        if self.ended {
            self.trail.trace.end(self.ending);
        }
    }
}

/// What came from the backend.
enum Arrival {
    Chunk(Bytes),
    End,
    Lost,
}

impl<P: ForwardProtocol> Relay<P> {
    /// The next bytes for the caller; nothing at the end of a whole answer.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        loop {
            if let Some(events) = self.whole_events()? {
                return Ok(Some(events));
            }
            if self.ended {
                return Ok(None);
            }
            match self.arrival().await? {
                Arrival::Chunk(bytes) => {
                    self.note_chunk();
                    let Some(splitter) = &mut self.splitter else {
                        // Of a body with a length nobody asks for the end once it was sent whole.
                        if self.source.body.is_end_stream() {
                            self.finish();
                        }
                        return Ok(Some(bytes));
                    };
                    splitter.push(&bytes);
                }
                Arrival::End => self.end().await?,
                Arrival::Lost => self.resume().await?,
            }
        }
    }

    /// The events that are whole, joined; none of them was passed on before.
    fn whole_events(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        let Some(splitter) = &mut self.splitter else {
            return Ok(None);
        };
        let mut joined: Vec<u8> = Vec::new();
        while let Some(event) = splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event)
                && self.resumed
            {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    return Err(BrokenOff::OutOfOrder);
                }
            }
            self.last_event = event.id.or(self.last_event);
            joined.extend_from_slice(&event.bytes);
        }
        Ok((!joined.is_empty()).then(|| Bytes::from(joined)))
    }

    async fn arrival(&mut self) -> Result<Arrival, BrokenOff> {
        let may_move = self.splitter.is_some();
        loop {
            let frame = tokio::select! {
                frame = self.source.body.frame() => frame,
                () = &mut self.time_limit => return Err(BrokenOff::TimedOut),
                () = self.node.until_ejected(&self.source.backend_id), if may_move => {
                    return Ok(Arrival::Lost);
                }
            };
            return Ok(match frame {
                None => Arrival::End,
                Some(Err(_)) => Arrival::Lost,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => Arrival::Chunk(bytes),
                    Err(_trailers) => continue,
                },
            });
        }
    }

    fn note_chunk(&mut self) {
        let now = monotonic_now();
        self.node.heard(&self.source.backend_id, now);
        self.source.chunks += 1;
        if self.source.first_chunk.is_some() {
            return;
        }
        self.source.first_chunk = Some(now);
        self.source.opened.ticket.first_piece();
        let model = &self.plan.facts.model;
        if !model.is_empty() && self.node.mechanisms.has(Mechanism::LearnedCost) {
            let waited = now.since(self.source.opened.sent).as_secs_f64() * 1000.0;
            let queued = self.source.opened.queued_tokens;
            self.node.state.costs.add_first_token(model, queued, waited);
        }
    }

    /// The backend's part ended whole by its framing. A stream that ends within an event did not.
    async fn end(&mut self) -> Result<(), BrokenOff> {
        let rest = self.splitter.as_mut().map(EventSplitter::take_rest);
        if rest.is_some_and(|rest| !rest.is_empty()) {
            return self.resume().await;
        }
        self.finish();
        Ok(())
    }

    /// The answer was read whole: its connection can carry another request.
    fn finish(&mut self) {
        self.ended = true;
        self.learn();
        let reuses = self.node.mechanisms.has(Mechanism::ConnectionReuse);
        if let Some(lease) = self.source.opened.lease.take()
            && reuses
        {
            lease.give_back(self.source.opened.keep_alive);
        }
    }

    /// Adds what the answer cost to what placement and routing learn from.
    fn learn(&self) {
        let source = &self.source;
        let (Some(first), false) = (source.first_chunk, self.plan.facts.model.is_empty()) else {
            return;
        };
        let first_token = first.since(source.opened.sent);
        let decode = monotonic_now().since(first);
        let sample = CostSample {
            prompt_tokens: clamp(source.opened.queued_tokens),
            first_token_ms: millis(first_token),
            output_tokens: source.chunks,
            decode_ms: millis(decode),
            streams_at_start: source.opened.streams,
        };
        let model = &self.plan.facts.model;
        let learns = self.node.mechanisms.has(Mechanism::LearnedCost);
        if learns && sample.output_tokens > 1 {
            let between = f64::from(sample.decode_ms) / f64::from(sample.output_tokens - 1);
            let streams = sample.streams_at_start.saturating_add(1);
            self.node
                .state
                .costs
                .add_inter_token(model, streams, between);
            self.node
                .state
                .costs
                .add_output_tokens(model, sample.output_tokens);
        }
        let key = source.opened.ticket.key();
        self.node.state.board.add_sample(key, sample);
    }

    /// Another backend goes on after the last whole event, inside the same answer.
    async fn resume(&mut self) -> Result<(), BrokenOff> {
        let Some(splitter) = &mut self.splitter else {
            return Err(BrokenOff::BackendLost);
        };
        splitter.reset();
        if !self.node.mechanisms.has(Mechanism::Resumption) {
            return Err(BrokenOff::BackendLost);
        }
        for _ in 0..MOST_RESUME_OFFERS {
            if self.trail.runs >= self.plan.most_runs() || !self.node.state.budget.try_spend() {
                return Err(BrokenOff::BackendLost);
            }
            let target = choose(&self.node, &self.plan, &self.trail.tried).await;
            let target = target.ok_or(BrokenOff::BackendLost)?;
            self.trail.tried.push(target.key.backend_id.clone());
            self.trail.trace.chosen(&target);
            let tried = attempt(&self.node, &self.plan, target, self.last_event).await;
            self.trail.trace.outcome(outcome_of(&tried));
            match tried {
                Ok(opened) if opened.response.status().is_success() => {
                    self.trail.runs += 1;
                    self.take_over(opened);
                    return Ok(());
                }
                Ok(_) | Err(AttemptFailure::Lost(_)) => self.trail.runs += 1,
                Err(AttemptFailure::NotSent) => self.node.state.budget.refund(),
                Err(AttemptFailure::NotRun { .. }) => {}
                Err(AttemptFailure::TimedOut) => return Err(BrokenOff::TimedOut),
            }
        }
        Err(BrokenOff::BackendLost)
    }

    fn take_over(&mut self, opened: Opened) {
        self.resumed = true;
        (_, self.source) = Source::of(opened);
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn clamp(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
