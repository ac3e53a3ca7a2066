//! One backend's part of a response: its body, what is held while it is read, and what it teaches about costs.

use std::pin::Pin;

use bytes::Bytes;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use millford_api::internal::CostSample;
use millford_core::time::monotonic_now;
use millford_core::{Duration, MonotonicTime};
use millford_routing::InFlightGuard;
use tokio::time::Sleep;

use crate::backend::PooledConnection;
use crate::mechanism::Mechanism;
use crate::node::ForwardNode;
use crate::protocol::ForwardProtocol;
use crate::request::attempt::OpenResponse;

/// What came from the backend.
#[derive(Debug)]
pub(super) enum Arrival {
    /// Bytes of the body.
    Chunk(Bytes),
    /// The body ended, complete by its framing.
    End,
    /// The connection broke, or the backend was ejected.
    Lost,
    /// The deadline passed.
    TimedOut,
}

/// One backend's part of a response.
#[derive(Debug)]
pub(super) struct BackendStream {
    backend_id: String,
    body: Incoming,
    /// Taken once the connection is released.
    pooled: Option<PooledConnection>,
    keep_alive: Option<Duration>,
    in_flight: InFlightGuard,
    sent_at: MonotonicTime,
    queued_tokens: u64,
    streams: u32,
    first_chunk_at: Option<MonotonicTime>,
    chunks: u32,
}

impl BackendStream {
    /// Takes a response apart: its head, and what is read from now on.
    pub(super) fn of(opened: OpenResponse) -> (Parts, Self) {
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

    /// Whether nothing more comes. A body with a length knows it as soon as its last byte came.
    pub(super) fn is_at_end(&self) -> bool {
        self.body.is_end_stream()
    }

    /// What comes next, until `deadline`. Trailers are skipped. A resumable stream is lost with the ejection
    /// of its backend; any other one may still come to its end.
    pub(super) async fn next<P: ForwardProtocol>(
        &mut self,
        node: &ForwardNode<P>,
        mut deadline: Pin<&mut Sleep>,
        is_resumable: bool,
    ) -> Arrival {
        loop {
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                () = &mut deadline => return Arrival::TimedOut,
                () = node.until_ejected(&self.backend_id), if is_resumable => return Arrival::Lost,
            };
            match frame {
                None => return Arrival::End,
                Some(Err(_)) => return Arrival::Lost,
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Arrival::Chunk(bytes);
                    }
                }
            }
        }
    }

    /// A chunk arrived. The first one ends the prefill, whose cost is learned.
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

    /// Adds what the complete response cost to what placement and routing learn from.
    pub(super) fn record_cost<P: ForwardProtocol>(&self, node: &ForwardNode<P>, model: &str) {
        let (Some(first_chunk_at), false) = (self.first_chunk_at, model.is_empty()) else {
            return;
        };
        let sample = CostSample {
            prompt_tokens: clamp(self.queued_tokens),
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

    /// The response was read completely: its connection can carry another request.
    pub(super) fn release<P: ForwardProtocol>(&mut self, node: &ForwardNode<P>) {
        let reuses = node.mechanisms.has(Mechanism::ConnectionReuse);
        if let Some(pooled) = self.pooled.take()
            && reuses
        {
            pooled.release(self.keep_alive);
        }
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn clamp(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
