//! Relays a stream from a backend to the caller. If the backend is lost and the route allows it,
//! another backend continues the stream.

use millford_core::{Duration, MonotonicTime, ResultCode, RunState};
use millford_data_plane::proxy_metrics::ProxyMetrics;
use millford_routing::EjectionReason;

use crate::request::attempt::{AnswerStart, Attempt, record_over_limit};
use crate::request::caller::{CallerPresence, CallerSink};
use crate::request::chunk::{Chunk, Usage};
use crate::request::chunk_reader::{ChunkReader, StreamItem};
use crate::request::environment::RequestEnvironment;
use crate::request::move_stream::{LostStream, move_stream};
use crate::request::plan::RequestPlan;
use crate::request::record::OpenStream;
use crate::request::refusal::Refusal;
use crate::request::reply::{Reply, ReplyError};
use crate::request::stream_watch::{StreamWatch, WatchVerdict};
use crate::request::unserved::Unserved;
use crate::request::wait::{WaitOutcome, wait_until};

/// Totals of a complete stream, for the cost estimates.
#[derive(Clone, Debug, Default)]
pub struct StreamTotals {
    /// Time from the first chunk to the last.
    pub decode: Duration,
    /// Number of chunks relayed.
    pub chunks: u64,
    /// Token counts, if the backend sent them.
    pub usage: Option<Usage>,
    /// Reason why the end of the stream could not be delivered to the caller; absent if it was.
    pub undelivered: Option<Unserved>,
}

/// Reason to stop reading from the current backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interruption {
    /// The backend is lost or the stream is invalid; another backend may continue the run.
    Lost(ResultCode),
    Deadline,
    CallerDisconnected,
    Stopping,
}

/// Relays the stream up to its end marker.
///
/// # Errors
/// Fails when no backend completes the stream, or when a chunk cannot be delivered to the caller.
pub async fn relay_stream<'a, E, C>(
    environment: &'a E,
    plan: &RequestPlan,
    attempt: Attempt<'a, E>,
    reader: ChunkReader<E::Answer>,
    first: StreamItem,
    reply: &mut Reply<'a, E, C>,
) -> Result<StreamTotals, Unserved>
where
    E: RequestEnvironment,
    C: CallerSink,
{
    let presence = reply.presence();
    let mut totals = StreamTotals::default();
    let mut source = StreamSource::begin(environment, attempt, reader);
    let first_chunk_at = environment.now();
    let _open = OpenStream::start(environment.state());
    reply.begin_stream().await?;
    let mut item = Ok(first);
    loop {
        item = match item {
            Ok(StreamItem::Chunk(chunk)) => {
                totals.chunks += 1;
                totals.usage = chunk.usage.or(totals.usage);
                totals.decode = environment.now().since(first_chunk_at);
                send_chunk(plan, chunk, reply).await?;
                source.next_item(plan, &presence).await
            }
            Ok(StreamItem::Done) => {
                source.finish();
                // The run counts as complete even if the end cannot be delivered to the caller.
                let sent = reply.send_done(plan.deadline).await;
                totals.undelivered = sent.err().map(Unserved::from);
                return Ok(totals);
            }
            Ok(StreamItem::BackendError) => {
                source.attempt.finish();
                return Err(Refusal::may_have_run(ResultCode::BackendError).into());
            }
            Err(Interruption::Lost(code)) => {
                let moved = source.continue_elsewhere(plan, &presence, code).await?;
                source = moved.source;
                Ok(moved.first)
            }
            Err(Interruption::Deadline) => {
                return Err(Refusal::may_have_run(ResultCode::DeadlineAfterSend).into());
            }
            Err(Interruption::Stopping) => {
                return Err(Refusal::may_have_run(ResultCode::ProxyDraining).into());
            }
            Err(Interruption::CallerDisconnected) => {
                return Err(Unserved::CallerDisconnected(RunState::MayHaveRun));
            }
        };
    }
}

/// The backend that a stream is currently read from.
///
/// Fields drop in order: the reader is first, so that its connection is closed before the attempt
/// is withdrawn.
struct StreamSource<'a, E: RequestEnvironment> {
    reader: ChunkReader<E::Answer>,
    attempt: Attempt<'a, E>,
    watch: StreamWatch,
    environment: &'a E,
}

/// A stream that another backend continues, with its first item from there.
struct MovedStream<'a, E: RequestEnvironment> {
    source: StreamSource<'a, E>,
    first: StreamItem,
}

impl<'a, E: RequestEnvironment> StreamSource<'a, E> {
    /// Begins to read from a backend whose first item has arrived.
    fn begin(
        environment: &'a E,
        mut attempt: Attempt<'a, E>,
        reader: ChunkReader<E::Answer>,
    ) -> Self {
        attempt.in_flight.begin_decode();
        Self {
            reader,
            attempt,
            watch: StreamWatch::new(environment.now()),
            environment,
        }
    }

    /// Waits for the next item and checks the backend's state at a fixed interval.
    async fn next_item<P: CallerPresence>(
        &mut self,
        plan: &RequestPlan,
        presence: &P,
    ) -> Result<StreamItem, Interruption> {
        let environment = self.environment;
        let backend_id = self.attempt.replica.key.backend_id.clone();
        let waited_from = environment.now();
        loop {
            match self.watch.check(environment, plan, &backend_id) {
                WatchVerdict::Wait => {}
                WatchVerdict::Unresponsive => {
                    return Err(Interruption::Lost(ResultCode::BackendSilent));
                }
                WatchVerdict::Drained => return Err(Interruption::Lost(ResultCode::BackendLost)),
                WatchVerdict::Stopping => return Err(Interruption::Stopping),
            }
            if self.watch.is_draining() {
                self.attempt.in_flight.begin_draining();
            }
            let next_check = environment.now() + environment.state().limits.backend_check_interval;
            let until = next_check.min(plan.deadline);
            match wait_until(environment, presence, until, self.reader.next()).await {
                WaitOutcome::Ready(Ok(item)) => {
                    self.record_activity(&backend_id, waited_from);
                    return Ok(item);
                }
                WaitOutcome::Ready(Err(code)) => return Err(Interruption::Lost(code)),
                WaitOutcome::TimedOut if environment.now() >= plan.deadline => {
                    return Err(Interruption::Deadline);
                }
                WaitOutcome::TimedOut => {}
                WaitOutcome::CallerDisconnected => return Err(Interruption::CallerDisconnected),
            }
        }
    }

    fn record_activity(&mut self, backend_id: &str, waited_from: MonotonicTime) {
        let state = self.environment.state();
        let now = self.environment.now();
        self.watch.record_activity(now);
        state.health.record_activity(backend_id, now);
        let waited = now.since(waited_from);
        ProxyMetrics::observe(&state.metrics.inter_token_seconds, waited);
    }

    /// Finishes the attempt after the end marker. Bytes received after the marker are counted and
    /// dropped with the connection; they are never relayed.
    fn finish(&mut self) {
        if self.reader.pending_bytes() > 0 {
            let dropped = &self.environment.state().metrics.dropped_answers;
            dropped.with_label_values(&["stray_bytes"]).inc();
        }
        self.attempt.finish();
    }

    /// Continues the run on another backend, from the next chunk on.
    async fn continue_elsewhere<P: CallerPresence>(
        self,
        plan: &RequestPlan,
        presence: &P,
        code: ResultCode,
    ) -> Result<MovedStream<'a, E>, Unserved> {
        self.record_loss(code);
        let environment = self.environment;
        let lost = LostStream::of(&self.attempt, self.reader.next_sequence(), code);
        // The old connection is closed and its attempt withdrawn before another backend is asked,
        // so that no chunks of the old attempt can mix with those of the new one.
        drop(self);
        let moved = move_stream(environment, plan, presence, &lost).await?;
        let AnswerStart::Stream { reader, first } = moved.answer else {
            return Err(Refusal::may_have_run(code).into());
        };
        let source = StreamSource::begin(environment, moved.attempt, reader);
        Ok(MovedStream { source, first })
    }

    fn record_loss(&self, code: ResultCode) {
        let state = self.environment.state();
        let key = &self.attempt.replica.key;
        state.load_table.add_failure(key);
        let is_active = state
            .table()
            .pool(&key.pool)
            .is_some_and(|pool| pool.backend_is_active(&key.backend_id));
        match code {
            ResultCode::BackendOverLimit => record_over_limit(self.environment, &key.backend_id),
            ResultCode::BackendSilent => {
                state.eject(&key.backend_id, EjectionReason::Unresponsive);
            }
            // A stream that ends because its backend drains is no sign of a fault in the backend.
            ResultCode::BackendLost if is_active => {
                state.eject(&key.backend_id, EjectionReason::ConnectionLost);
            }
            _ => {}
        }
    }
}

async fn send_chunk<E: RequestEnvironment, C: CallerSink>(
    plan: &RequestPlan,
    chunk: Chunk,
    reply: &mut Reply<'_, E, C>,
) -> Result<(), Unserved> {
    let event = chunk.into_caller_event(&plan.request_id);
    reply.send_event(event, plan.deadline).await?;
    Ok(())
}

impl From<ReplyError> for Unserved {
    fn from(error: ReplyError) -> Self {
        match error {
            ReplyError::CallerDisconnected => Unserved::CallerDisconnected(RunState::MayHaveRun),
            ReplyError::TimedOut => Refusal::may_have_run(ResultCode::DeadlineAfterSend).into(),
        }
    }
}
