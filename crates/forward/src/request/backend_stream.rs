//! Reads the response body of one backend, holds its resources meanwhile, and records what it cost.

use std::pin::Pin;

use bytes::Bytes;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use millford_api::internal::CostSample;
use millford_bounded_io::{ReadAllowance, is_framing_excess};
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_routing::InFlightGuard;
use tokio::time::Sleep;

use crate::backend::{Excess, PooledConnection};
use crate::mechanism::Mechanism;
use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;
use crate::request::attempt::OpenResponse;
use crate::request::event_splitter::EventSplitter;

/// The result of reading from the backend's body.
#[derive(Debug)]
pub(super) enum BodyRead {
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body ended and is complete by its framing.
    End,
    /// The connection was lost, or the backend was ejected.
    Lost,
    /// The backend sent more than a limit allows.
    OverLimit(Excess),
    /// The deadline of the request passed.
    TimedOut,
}

/// The response body of one backend. A resumed response consists of several.
#[derive(Debug)]
pub(super) struct BackendStream {
    backend_id: String,
    body: Incoming,
    /// `None` once the connection is released.
    pooled: Option<PooledConnection>,
    /// How long the backend keeps the connection open while it is idle; `None` if it did not declare it.
    keep_alive: Option<Duration>,
    in_flight: InFlightGuard,
    sent_at: MonotonicTime,
    /// As [`OpenResponse::queued_tokens`].
    queued_tokens: u64,
    /// As [`OpenResponse::streams`].
    streams: u32,
    first_chunk_at: Option<MonotonicTime>,
    chunks: u32,
}

impl BackendStream {
    /// Splits a response into its headers and the stream of its body.
    pub(super) fn split(opened: OpenResponse) -> (Parts, Self) {
        let (head, body) = opened.response.into_parts();
        let stream = Self {
            backend_id: opened.target.key.backend_id,
            body,
            pooled: Some(opened.pooled),
            keep_alive: opened.facts.keep_alive,
            in_flight: opened.in_flight,
            sent_at: opened.sent_at,
            queued_tokens: opened.queued_tokens,
            streams: opened.streams,
            first_chunk_at: None,
            chunks: 0,
        };
        (head, stream)
    }

    /// Whether the body is complete. If its length is known, this holds as soon as the last byte was read.
    pub(super) fn is_at_end(&self) -> bool {
        self.body.is_end_stream()
    }

    /// Reads the next bytes of the body until `deadline`. Trailers are skipped. A resumable stream, whose incomplete
    /// event is in `resumable_events`, ends with the ejection of the backend, or when the event has to give way; any other
    /// response is still read, since the backend may yet complete it.
    pub(super) async fn next<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        mut deadline: Pin<&mut Sleep>,
        resumable_events: Option<&EventSplitter>,
    ) -> BodyRead {
        loop {
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = &mut deadline => return BodyRead::TimedOut,
                () = interrupted(node, &self.backend_id, resumable_events) => return BodyRead::Lost,
                () = revoked(resumable_events) => return BodyRead::OverLimit(Excess::Event),
            };
            match frame {
                None => return BodyRead::End,
                Some(Err(error)) if self.has_framing_excess(&error) => {
                    return BodyRead::OverLimit(Excess::Framing);
                }
                Some(Err(_)) => return BodyRead::Lost,
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        if let Some(allowance) = self.allowance() {
                            allowance.renew();
                        }
                        let turn = node.bulk_turns.take(&self.backend_id, bytes.len());
                        return tokio::select! {
                            () = turn => BodyRead::Chunk(bytes),
                            () = &mut deadline => BodyRead::TimedOut,
                        };
                    }
                }
            }
        }
    }

    /// The allowance of the connection; `None` once it is released.
    fn allowance(&mut self) -> Option<&ReadAllowance> {
        let connection = self.pooled.as_mut()?.connection()?;
        Some(connection.allowance())
    }

    /// Whether the body failed because of chunk sizes, chunk extensions or trailers that are too long.
    fn has_framing_excess(&mut self, error: &hyper::Error) -> bool {
        let is_exceeded = self.allowance().is_some_and(ReadAllowance::is_exceeded);
        is_exceeded || is_framing_excess(error)
    }

    /// The backend's id.
    pub(super) fn backend_id(&self) -> &str {
        &self.backend_id
    }

    /// Records that a chunk was received. The first one ends the prefill, whose duration is added to the cost
    /// estimates.
    pub(super) fn record_chunk<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>, model: &str) {
        let now = monotonic_now();
        node.record_activity(&self.backend_id, now);
        self.chunks += 1;
        if self.first_chunk_at.is_some() {
            return;
        }
        self.first_chunk_at = Some(now);
        self.in_flight.begin_decode();
        if !model.is_empty() && node.mechanisms.has(Mechanism::LearnedCost) {
            let waited_ms = now.since(self.sent_at).as_secs_f64() * 1000.0;
            let costs = &node.state.costs;
            costs.add_first_token(model, self.queued_tokens, waited_ms);
        }
    }

    /// Records the cost of the complete response for placement and routing.
    pub(super) fn record_cost<P: ForwardProtocol>(&self, node: &ForwardNode<P>, model: &str) {
        let (Some(first_chunk_at), false) = (self.first_chunk_at, model.is_empty()) else {
            return;
        };
        let sample = CostSample {
            prompt_tokens: saturating_u32(self.queued_tokens),
            first_token_ms: millis(first_chunk_at.since(self.sent_at)),
            output_tokens: self.chunks,
            decode_ms: millis(monotonic_now().since(first_chunk_at)),
            streams_at_start: self.streams,
        };
        let learns = node.mechanisms.has(Mechanism::LearnedCost);
        if learns && sample.output_tokens > 1 {
            let between_ms = f64::from(sample.decode_ms) / f64::from(sample.output_tokens - 1);
            let streams = sample.streams_at_start.saturating_add(1);
            let costs = &node.state.costs;
            costs.add_inter_token(model, streams, between_ms);
            costs.add_output_tokens(model, sample.output_tokens);
        }
        node.state
            .load_table
            .add_sample(self.in_flight.key(), sample);
    }

    /// Returns the connection to its pool after the response was read completely.
    pub(super) fn release<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>) {
        let reuses = node.mechanisms.has(Mechanism::ConnectionReuse);
        if let Some(pooled) = self.pooled.take()
            && reuses
        {
            pooled.release(self.keep_alive);
        }
    }
}

/// Waits until a backend is ejected whose stream another one may resume.
async fn interrupted<P: ForwardProtocol>(
    node: &ForwardNode<P>,
    backend_id: &str,
    resumable_events: Option<&EventSplitter>,
) {
    match resumable_events {
        Some(_) => node.until_ejected(backend_id).await,
        None => std::future::pending().await,
    }
}

/// Waits until an incomplete event has to give way to other buffers of the process.
async fn revoked(resumable_events: Option<&EventSplitter>) {
    match resumable_events {
        Some(events) => events.revoked().await,
        None => std::future::pending().await,
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
