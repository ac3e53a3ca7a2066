//! Forwards a response body to the caller, and resumes a broken stream on another backend.

use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use millford_bounded_io::{HeldBytes, Source};
use millford_core::time::monotonic_now;
use millford_decisions::Ending;
use tokio::time::Sleep;

use crate::backend::Excess;
use crate::mechanism::Mechanism;
use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;
use crate::request::answer_limit::AnswerLimit;
use crate::request::attempt::{AttemptFailure, OpenResponse};
use crate::request::backend_stream::{BackendStream, BodyRead};
use crate::request::choose::choose;
use crate::request::event_splitter::{Event, EventSplitter};
use crate::request::first_response::{AttemptHistory, try_backend};
use crate::request::headers::remove_length;
use crate::request::plan::Plan;
use crate::request::response_body::{ResponseBody, TruncatedResponse};

/// Most attempts to resume a stream each time that its backend is lost.
const MAX_RESUME_ATTEMPTS: u32 = 4;

/// Builds the response to the caller: the backend's headers, and the body as it arrives from the backend.
///
/// The caller's connection polls the body. When the caller disconnects, the body is dropped, which closes the
/// connection to the backend and so cancels the request there.
pub fn relay<P: ForwardProtocol>(
    node: Arc<ForwardNode<P>>,
    mut plan: Plan,
    history: AttemptHistory,
    opened: OpenResponse,
) -> Response<ResponseBody> {
    let (mut head, backend) = BackendStream::split(opened);
    let is_resumable = plan.is_resumable() && head.status.is_success();
    if is_resumable {
        // If another backend resumes the stream, the total length may differ.
        remove_length(&mut head.headers);
    } else {
        // The request is not sent again: a long stream does not need to keep a long prompt in memory.
        plan.body = HeldBytes::default();
    }
    let ending = if head.status.is_success() {
        Ending::Complete
    } else {
        Ending::BackendFailure
    };
    let relay = Relay::new(node, plan, history, backend, is_resumable, ending);
    let body = StreamBody::new(relay.into_frames());
    Response::from_parts(head, BodyExt::boxed_unsync(body))
}

struct Relay<P> {
    node: Arc<ForwardNode<P>>,
    plan: Plan,
    history: AttemptHistory,
    backend: BackendStream,
    deadline: Pin<Box<Sleep>>,
    /// Present for streams that another backend may resume.
    splitter: Option<EventSplitter>,
    /// Limit of an answer that is relayed as it arrives.
    limit: AnswerLimit,
    /// Id of the last event that was forwarded, initially of the one that the caller resumes after.
    last_event: Option<u64>,
    /// Whether another backend has resumed the stream.
    resumed: bool,
    /// Whether the response was received completely.
    complete: bool,
    /// Ending for the decision record if the response is forwarded completely.
    ending: Ending,
}

impl<P> Drop for Relay<P> {
    fn drop(&mut self) {
        if self.complete {
            self.history.trace.finish(self.ending);
        }
    }
}

impl<P: ForwardProtocol> Relay<P> {
    fn new(
        node: Arc<ForwardNode<P>>,
        plan: Plan,
        history: AttemptHistory,
        backend: BackendStream,
        is_resumable: bool,
        ending: Ending,
    ) -> Self {
        let time_left = plan.deadline.since(monotonic_now());
        let is_empty = backend.is_at_end();
        let splitter = is_resumable.then(|| splitter_for(&node, &backend));
        let mut relay = Self {
            deadline: Box::pin(tokio::time::sleep(time_left)),
            backend,
            splitter,
            limit: AnswerLimit::of(&node.bounds, plan.route.stream),
            last_event: plan.facts.resume_after,
            resumed: false,
            complete: false,
            node,
            plan,
            history,
            ending,
        };
        if is_empty {
            relay.finish();
        }
        relay
    }

    /// Returns the frames of the caller's body; an error ends a truncated body.
    fn into_frames(self) -> impl stream::Stream<Item = Result<Frame<Bytes>, TruncatedResponse>> {
        stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => {
                    relay.history.trace.record_bytes();
                    Some((Ok(Frame::data(bytes)), Some(relay)))
                }
                Ok(None) => None,
                Err(truncated) => {
                    relay.history.trace.finish(Ending::BrokenOff);
                    Some((Err(truncated), None))
                }
            }
        })
    }

    /// Returns the next bytes for the caller, or `None` at the end of a complete response.
    async fn next(&mut self) -> Result<Option<Bytes>, TruncatedResponse> {
        loop {
            if let Some(events) = self.take_complete_events()? {
                return Ok(Some(events));
            }
            if self.complete {
                return Ok(None);
            }
            let deadline = self.deadline.as_mut();
            let read = self
                .backend
                .next(&self.node, deadline, self.splitter.as_ref());
            match read.await {
                BodyRead::Chunk(bytes) => {
                    self.backend
                        .record_chunk(&self.node, &self.plan.facts.model);
                    if let Err(excess) = self.accept(&bytes) {
                        self.handle_excess(excess).await?;
                        continue;
                    }
                    if self.splitter.is_none() {
                        // A body with a known length is not polled again after its last byte.
                        if self.backend.is_at_end() {
                            self.finish();
                        }
                        return Ok(Some(bytes));
                    }
                }
                BodyRead::End => self.handle_end_of_body().await?,
                BodyRead::Lost => self.resume(TruncatedResponse::BackendLost).await?,
                BodyRead::OverLimit(excess) => self.handle_excess(excess).await?,
                BodyRead::TimedOut => return Err(TruncatedResponse::TimedOut),
            }
        }
    }

    /// Removes and joins the complete events, without those that were forwarded before a resumption.
    fn take_complete_events(&mut self) -> Result<Option<Bytes>, TruncatedResponse> {
        let Some(splitter) = &mut self.splitter else {
            return Ok(None);
        };
        let mut joined: Vec<u8> = Vec::new();
        while let Some(event) = splitter.next_event() {
            if self.resumed {
                match event_position(&event, self.last_event) {
                    EventPosition::Next => {}
                    EventPosition::Repeated => continue,
                    EventPosition::AfterGap => return Err(TruncatedResponse::OutOfOrder),
                }
            }
            self.last_event = event.id.or(self.last_event);
            joined.extend_from_slice(&event.bytes);
        }
        Ok((!joined.is_empty()).then(|| Bytes::from(joined)))
    }

    /// Handles the end of the backend's body, which is complete by its framing. A resumable stream that ends
    /// within an event is incomplete nevertheless and is resumed.
    async fn handle_end_of_body(&mut self) -> Result<(), TruncatedResponse> {
        let rest = self.splitter.as_mut().map(EventSplitter::take_remainder);
        if rest.is_some_and(|rest| !rest.is_empty()) {
            return self.resume(TruncatedResponse::BackendLost).await;
        }
        self.finish();
        Ok(())
    }

    /// Marks the response as complete, records its cost and returns the connection to its pool.
    fn finish(&mut self) {
        self.complete = true;
        self.backend.record_cost(&self.node, &self.plan.facts.model);
        self.backend.release(&self.node);
    }

    /// Counts received bytes against the limits, and buffers those of a resumable stream.
    fn accept(&mut self, bytes: &[u8]) -> Result<(), Excess> {
        match &mut self.splitter {
            Some(splitter) => splitter.push(bytes).map_err(|_| Excess::Event),
            None => self.limit.record(bytes),
        }
    }

    /// Holds an excess against the backend, and resumes the stream elsewhere where its route allows that.
    async fn handle_excess(&mut self, excess: Excess) -> Result<(), TruncatedResponse> {
        self.node.record_excess(self.backend.backend_id(), excess);
        self.resume(TruncatedResponse::OverLimit).await
    }

    /// Resumes the stream on another backend after the last complete event, within the same response. `cause` ends the
    /// response if that is not possible.
    async fn resume(&mut self, cause: TruncatedResponse) -> Result<(), TruncatedResponse> {
        if self.splitter.take().is_none() {
            return Err(cause);
        }
        if !self.node.mechanisms.has(Mechanism::Resumption) {
            return Err(cause);
        }
        for _ in 0..MAX_RESUME_ATTEMPTS {
            let history = &mut self.history;
            if history.runs >= self.plan.max_runs() || !self.node.state.budget.try_spend() {
                return Err(cause);
            }
            let target = choose(&self.node, &self.plan, &history.tried).await;
            let target = target.ok_or(cause)?;
            let last_event = self.last_event;
            match try_backend(&self.node, &self.plan, history, target, last_event).await {
                Ok(opened) if opened.response.status().is_success() => {
                    history.runs += 1;
                    self.resumed = true;
                    (_, self.backend) = BackendStream::split(opened);
                    self.splitter = Some(splitter_for(&self.node, &self.backend));
                    return Ok(());
                }
                Ok(_) | Err(AttemptFailure::Lost(_)) => history.runs += 1,
                Err(AttemptFailure::NotSent) => self.node.state.budget.refund(),
                Err(AttemptFailure::NotRun { .. }) => {}
                Err(AttemptFailure::TimedOut) => return Err(TruncatedResponse::TimedOut),
            }
        }
        Err(cause)
    }
}

/// Creates the buffer for the events of a resumable stream from this backend.
fn splitter_for<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    backend: &BackendStream,
) -> EventSplitter {
    let source = Source::Backend(Arc::from(backend.backend_id()));
    EventSplitter::new(&node.state.memory, source, node.bounds.max_event_bytes)
}

/// Position of an event relative to the last one that was forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventPosition {
    /// The event follows directly, or one of the two has no id.
    Next,
    /// The event was forwarded before.
    Repeated,
    /// One or more events before it are missing.
    AfterGap,
}

fn event_position(event: &Event, last: Option<u64>) -> EventPosition {
    match (event.id, last) {
        (Some(id), Some(last)) if id <= last => EventPosition::Repeated,
        (Some(id), Some(last)) if id > last + 1 => EventPosition::AfterGap,
        _ => EventPosition::Next,
    }
}
