//! Relays a stream to the caller, from one backend or, where the route allows, from the next.

use millford_core::{Duration, MonotonicTime, ResultCode, RunState};
use millford_data_plane::proxy_metrics::ProxyMetrics;
use millford_routing::EjectionReason;

use crate::request::attempt::{Attempt, FirstPart, Opened};
use crate::request::caller::{CallerPresence, CallerSink};
use crate::request::environment::RequestEnvironment;
use crate::request::first_answer::Ended;
use crate::request::move_stream::{LostStream, move_stream};
use crate::request::piece::{Piece, Usage};
use crate::request::piece_reader::{PieceReader, StreamItem};
use crate::request::plan::RequestPlan;
use crate::request::record::OpenStream;
use crate::request::refusal::Refusal;
use crate::request::reply::{Reply, ReplyError};
use crate::request::stream_watch::{StreamWatch, WatchVerdict};
use crate::request::wait::{Waited, wait_until};

/// What the stream brought, for the cost fit.
#[derive(Clone, Debug, Default)]
pub struct StreamTotals {
    /// Time from the attempt's start to its first piece.
    pub first_token: Duration,
    /// Time from the first piece to the last.
    pub decode: Duration,
    /// Pieces relayed.
    pub pieces: u64,
    /// Usage, if the backend sent it.
    pub usage: Option<Usage>,
    /// Why the caller did not get the end of the whole stream, if it did not.
    pub not_given: Option<Ended>,
}

/// Why the present backend gives no more pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interruption {
    Broken(ResultCode),
    Deadline,
    CallerGone,
    Stopping,
}

/// Relays the stream to its end marker, or says why the run did not come to its end.
pub async fn relay_stream<'a, E, C>(
    environment: &'a E,
    plan: &RequestPlan,
    opened: Opened<'a, E>,
    reply: &mut Reply<'a, E, C>,
) -> Result<StreamTotals, Ended>
where
    E: RequestEnvironment,
    C: CallerSink,
{
    let presence = reply.presence();
    let mut totals = StreamTotals {
        first_token: environment.now().since(opened.attempt.started),
        ..StreamTotals::default()
    };
    let mut attempt = opened.attempt;
    let FirstPart::Stream { mut reader, first } = opened.part else {
        return Err(Refusal::may_have_run(ResultCode::BackendError).into());
    };
    attempt.ticket.begin_decode();
    let first_piece_at = environment.now();
    let mut watch = StreamWatch::new(first_piece_at);
    let mut item = Ok(first);
    let _open = OpenStream::start(environment.state());
    reply.begin_stream().await.map_err(ended_by_reply)?;
    loop {
        match item {
            Ok(StreamItem::Piece(piece)) => {
                totals.pieces += 1;
                totals.usage = piece.usage.or(totals.usage);
                totals.decode = environment.now().since(first_piece_at);
                send_piece(plan, piece, reply).await?;
            }
            Ok(StreamItem::Done) => {
                note_stray_bytes(environment, &reader);
                attempt.finish();
                // The run is complete, whether or not the caller still takes its end.
                let given = reply.done(plan.deadline).await;
                totals.not_given = given.err().map(ended_by_reply);
                return Ok(totals);
            }
            Ok(StreamItem::BackendError) => {
                attempt.finish();
                return Err(Refusal::may_have_run(ResultCode::BackendError).into());
            }
            Err(Interruption::CallerGone) => return Err(Ended::CallerGone(RunState::MayHaveRun)),
            Err(Interruption::Stopping) => {
                return Err(Refusal::may_have_run(ResultCode::ProxyDraining).into());
            }
            Err(Interruption::Deadline) => {
                return Err(Refusal::may_have_run(ResultCode::DeadlineAfterSend).into());
            }
            Err(Interruption::Broken(code)) => {
                note_broken(environment, &attempt, code);
                let lost = LostStream::of(&attempt, reader.next_sequence(), code);
                // The old connection is closed and its attempt withdrawn before another backend
                // is asked: nothing of the old one can come between the pieces of the new one.
                drop(reader);
                drop(attempt);
                let moved = move_stream(environment, plan, &presence, &lost).await?;
                attempt = moved.attempt;
                let FirstPart::Stream {
                    reader: rest,
                    first,
                } = moved.part
                else {
                    return Err(Refusal::may_have_run(code).into());
                };
                attempt.ticket.begin_decode();
                reader = rest;
                watch = StreamWatch::new(environment.now());
                item = Ok(first);
                continue;
            }
        }
        item = next_item(
            environment,
            plan,
            &presence,
            &mut reader,
            &mut watch,
            &mut attempt,
        )
        .await;
    }
}

async fn send_piece<E: RequestEnvironment, C: CallerSink>(
    plan: &RequestPlan,
    piece: Piece,
    reply: &mut Reply<'_, E, C>,
) -> Result<(), Ended> {
    let event = piece.into_caller_event(&plan.request_id);
    reply
        .send_event(event, plan.deadline)
        .await
        .map_err(ended_by_reply)
}

/// Waits for the next item, looking at the backend's state from time to time.
async fn next_item<E: RequestEnvironment, P: CallerPresence>(
    environment: &E,
    plan: &RequestPlan,
    presence: &P,
    reader: &mut PieceReader<E::Answer>,
    watch: &mut StreamWatch,
    attempt: &mut Attempt<'_, E>,
) -> Result<StreamItem, Interruption> {
    let backend_id = attempt.replica.key.backend_id.clone();
    let waited_from = environment.now();
    loop {
        match watch.look(environment, plan, &backend_id) {
            WatchVerdict::Wait => {}
            WatchVerdict::Silent => return Err(Interruption::Broken(ResultCode::BackendSilent)),
            WatchVerdict::Drained => return Err(Interruption::Broken(ResultCode::BackendLost)),
            WatchVerdict::Stopping => return Err(Interruption::Stopping),
        }
        if watch.is_draining() {
            attempt.ticket.begin_draining();
        }
        let look_again = environment.now() + environment.state().limits.backend_check_interval;
        let until = look_again.min(plan.deadline);
        match wait_until(environment, presence, until, reader.next()).await {
            Waited::Ready(Ok(item)) => {
                note_heard(environment, watch, &backend_id, waited_from);
                return Ok(item);
            }
            Waited::Ready(Err(code)) => return Err(Interruption::Broken(code)),
            Waited::TimeUp if environment.now() >= plan.deadline => {
                return Err(Interruption::Deadline);
            }
            Waited::TimeUp => {}
            Waited::CallerGone => return Err(Interruption::CallerGone),
        }
    }
}

fn note_heard<E: RequestEnvironment>(
    environment: &E,
    watch: &mut StreamWatch,
    backend_id: &str,
    waited_from: MonotonicTime,
) {
    let state = environment.state();
    let now = environment.now();
    watch.heard(now);
    state.health.record_activity(backend_id, now);
    let waited = now.since(waited_from);
    ProxyMetrics::observe(&state.metrics.inter_token_seconds, waited);
}

fn note_broken<E: RequestEnvironment>(environment: &E, attempt: &Attempt<'_, E>, code: ResultCode) {
    let state = environment.state();
    let key = &attempt.replica.key;
    state.load_table.add_failure(key);
    let pool_shows_active = state
        .table()
        .pool(&key.pool)
        .is_some_and(|pool| pool.backend_is_active(&key.backend_id));
    match code {
        ResultCode::BackendSilent => state.eject(&key.backend_id, EjectionReason::Unresponsive),
        // A stream cut off at the end of a drain says nothing about the backend's health.
        ResultCode::BackendLost if pool_shows_active => {
            state.eject(&key.backend_id, EjectionReason::ConnectionLost);
        }
        _ => {}
    }
}

/// Bytes after the end marker are dropped with the connection and never attributed.
fn note_stray_bytes<E: RequestEnvironment>(environment: &E, reader: &PieceReader<E::Answer>) {
    if reader.pending_bytes() > 0 {
        let dropped = &environment.state().metrics.dropped_answers;
        dropped.with_label_values(&["stray_bytes"]).inc();
    }
}

fn ended_by_reply(error: ReplyError) -> Ended {
    match error {
        ReplyError::CallerGone => Ended::CallerGone(RunState::MayHaveRun),
        ReplyError::TimeUp => Refusal::may_have_run(ResultCode::DeadlineAfterSend).into(),
    }
}
