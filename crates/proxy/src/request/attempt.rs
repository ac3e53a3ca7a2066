//! One attempt to serve a request, from the connection to the first part of the answer.

use std::sync::Arc;

use millford_bounded_io::{BoundedBuffer, HeldBytes, Reader, Source};
use millford_core::{MonotonicTime, ResultCode};
use millford_routing::{EjectionReason, InFlightGuard};

use crate::request::choose_backend::ChosenReplica;
use crate::request::chunk_reader::{ChunkReader, StreamItem};
use crate::request::environment::{BackendAnswer, RequestEnvironment};
use crate::request::failure::AttemptFailure;
use crate::request::message::{
    AnswerHead, BackendRequest, DispatchError, ResumeFrom, SentFlag, WithdrawRequest,
};
use crate::request::plain_body::read_complete;
use crate::request::plan::{RequestPlan, random_id};
use crate::request::sse::SseDecoder;
use crate::request::stream_watch::until_ejected;

/// An attempt in progress. If it is dropped before it finished, it is withdrawn from the backend.
pub struct Attempt<'a, E: RequestEnvironment> {
    environment: &'a E,
    /// Replica that the attempt is sent to.
    pub replica: ChosenReplica,
    /// Id of the run that the attempt starts or continues.
    pub run: String,
    /// Counts the attempt in the load table until it is dropped.
    pub in_flight: InFlightGuard,
    /// When the attempt was prepared, before any byte was sent.
    pub started: MonotonicTime,
    /// Uncached prompt tokens queued on the replica at the start, including this request's.
    pub queued_tokens: u64,
    /// Streams in the decode phase on the replica at the start.
    pub streams_at_start: u32,
    id: String,
    sent: SentFlag,
    resume_from: Option<ResumeFrom>,
    finished: bool,
}

/// The first part of an answer.
pub enum AnswerStart<A> {
    /// The start of a stream.
    Stream {
        /// Reads the items after the first.
        reader: ChunkReader<A>,
        /// The first chunk, or the end of an empty stream.
        first: StreamItem,
    },
    /// A complete plain answer.
    Plain {
        /// The complete body.
        body: HeldBytes,
        /// Content type of the body; empty if the backend sent none.
        content_type: String,
    },
}

/// An attempt with the start of a valid answer.
pub struct OpenedAttempt<'a, E: RequestEnvironment> {
    /// The attempt, still to be finished.
    pub attempt: Attempt<'a, E>,
    /// First item of a stream, or the complete plain answer.
    pub answer: AnswerStart<E::Answer>,
}

/// An attempt that failed before a usable answer.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Reason for the failure.
    pub failure: AttemptFailure,
    /// Withdrawal to send if the attempt may still run.
    pub withdraw_request: WithdrawRequest,
}

impl<'a, E: RequestEnvironment> Attempt<'a, E> {
    /// Prepares an attempt that starts a new run.
    pub fn start(environment: &'a E, replica: ChosenReplica) -> Self {
        let run = random_id([environment.random(), environment.random()]);
        Self::prepare(environment, replica, run, None)
    }

    /// Prepares an attempt that continues `run` at the chunk with number `sequence`.
    pub fn resume(environment: &'a E, replica: ChosenReplica, run: String, sequence: u64) -> Self {
        Self::prepare(environment, replica, run, Some(ResumeFrom(sequence)))
    }

    fn prepare(
        environment: &'a E,
        replica: ChosenReplica,
        run: String,
        resume_from: Option<ResumeFrom>,
    ) -> Self {
        let load_table = &environment.state().load_table;
        let before = load_table.counts(&replica.key);
        let in_flight = load_table.start(replica.key.clone(), replica.uncached_tokens);
        Self {
            environment,
            run,
            in_flight,
            started: environment.now(),
            queued_tokens: before.prefill_tokens + replica.uncached_tokens,
            streams_at_start: before.decode_streams,
            id: random_id([environment.random(), environment.random()]),
            sent: SentFlag::default(),
            resume_from,
            finished: false,
            replica,
        }
    }

    /// Returns the withdrawal of this attempt.
    #[must_use]
    pub fn withdraw_request(&self) -> WithdrawRequest {
        WithdrawRequest {
            backend_id: self.replica.key.backend_id.clone(),
            address: self.replica.address.clone(),
            attempt: self.id.clone(),
            started: self.started,
            timeout: self.environment.state().limits.withdraw_timeout,
        }
    }

    /// Returns the flag that is set once a byte may have been sent.
    #[must_use]
    pub fn sent_flag(&self) -> SentFlag {
        self.sent.clone()
    }

    /// Marks the attempt as finished, so that dropping it sends no withdrawal.
    pub fn finish(&mut self) {
        self.finished = true;
    }

    /// Sends the request and reads the first part of the answer.
    ///
    /// # Errors
    /// Fails when no answer arrives, when the answer is invalid for this attempt, or when the
    /// backend is ejected as unresponsive meanwhile.
    pub async fn run(mut self, plan: &RequestPlan) -> Result<OpenedAttempt<'a, E>, FailedAttempt> {
        let backend_id = self.replica.key.backend_id.clone();
        let environment = self.environment;
        let answer_start = self.answer_start(plan);
        match until_ejected(environment, &backend_id, answer_start).await {
            Ok(answer) => Ok(OpenedAttempt {
                attempt: self,
                answer,
            }),
            Err(failure) => {
                self.record_failure(failure);
                self.finish();
                Err(FailedAttempt {
                    failure,
                    withdraw_request: self.withdraw_request(),
                })
            }
        }
    }

    async fn answer_start(
        &self,
        plan: &RequestPlan,
    ) -> Result<AnswerStart<E::Answer>, AttemptFailure> {
        let environment = self.environment;
        let request = self.backend_request(plan);
        environment
            .state()
            .health
            .record_dispatch(&self.replica.key.backend_id, environment.now());
        let answer = environment.dispatch(request).await;
        let mut answer = answer.map_err(|error| match error {
            DispatchError::NotConnected if !self.sent.is_set() => AttemptFailure::not_sent(),
            DispatchError::OverLimit => AttemptFailure::unknown(ResultCode::BackendOverLimit),
            _ => AttemptFailure::unknown(ResultCode::BackendLost),
        })?;
        self.record_activity();
        self.check_head(answer.head())?;
        if plan.stream {
            return self.first_item(answer).await;
        }
        let content_type = answer.head().content_type.clone();
        let body = read_complete(&mut answer, self.answer_buffer()).await;
        Ok(AnswerStart::Plain {
            body: body.map_err(AttemptFailure::unknown)?,
            content_type,
        })
    }

    async fn first_item(
        &self,
        answer: E::Answer,
    ) -> Result<AnswerStart<E::Answer>, AttemptFailure> {
        let sequence = self.resume_from.map_or(0, |resume| resume.0);
        let mut reader = ChunkReader::new(answer, self.decoder(), self.run.clone(), sequence);
        let first = reader.next().await.map_err(AttemptFailure::unknown)?;
        self.record_activity();
        if first == StreamItem::BackendError {
            return Err(AttemptFailure::backend_fault());
        }
        Ok(AnswerStart::Stream { reader, first })
    }

    /// Creates the buffer of a plain answer.
    fn answer_buffer(&self) -> BoundedBuffer {
        let state = self.environment.state();
        let max_bytes = state.limits.max_answer_bytes;
        BoundedBuffer::new(&state.memory, Reader::Answer, self.source(), max_bytes)
    }

    /// Creates the decoder of a streamed answer.
    fn decoder(&self) -> SseDecoder {
        let state = self.environment.state();
        let max_event_bytes = state.limits.max_event_bytes;
        SseDecoder::new(&state.memory, self.source(), max_event_bytes)
    }

    fn source(&self) -> Source {
        Source::Backend(Arc::from(self.replica.key.backend_id.as_str()))
    }

    fn backend_request(&self, plan: &RequestPlan) -> BackendRequest {
        BackendRequest {
            backend_id: self.replica.key.backend_id.clone(),
            address: self.replica.address.clone(),
            method: plan.method,
            path: plan.path.clone(),
            attempt: self.id.clone(),
            run: self.run.clone(),
            version: self.replica.key.version.clone(),
            stage: plan.requirement.stage.clone(),
            adapter: plan.requirement.adapter.clone(),
            resume_from: self.resume_from,
            time_left: plan.deadline.since(self.environment.now()),
            body: plan.body.clone(),
            sent: self.sent.clone(),
        }
    }

    fn check_head(&self, head: &AnswerHead) -> Result<(), AttemptFailure> {
        // An answer with another attempt id belongs to another request. This is checked first,
        // since a refusal in such an answer does not apply to this request either.
        if head.attempt.as_deref() != Some(self.id.as_str()) {
            self.count_dropped_answer("attempt_mismatch");
            return Err(AttemptFailure::unknown(ResultCode::AnswerMismatch));
        }
        match head.status {
            200 => self.check_resume(head),
            429 | 503 if head.not_run => Err(AttemptFailure::refused(head.retry_after_ms)),
            500.. => Err(AttemptFailure::backend_fault()),
            _ => Err(AttemptFailure::request_fault()),
        }
    }

    /// Checks that a backend which continues a run confirms exactly the requested sequence number.
    fn check_resume(&self, head: &AnswerHead) -> Result<(), AttemptFailure> {
        let requested = self.resume_from.map(|resume| resume.0);
        if requested.is_none() || head.resume_at == requested {
            return Ok(());
        }
        self.count_dropped_answer("resume_mismatch");
        Err(AttemptFailure::unknown(ResultCode::StreamOutOfOrder))
    }

    fn record_activity(&self) {
        let id = &self.replica.key.backend_id;
        let environment = self.environment;
        environment
            .state()
            .health
            .record_activity(id, environment.now());
    }

    fn count_dropped_answer(&self, cause: &str) {
        let metrics = &self.environment.state().metrics;
        metrics.dropped_answers.with_label_values(&[cause]).inc();
    }

    fn record_failure(&self, failure: AttemptFailure) {
        let state = self.environment.state();
        state.load_table.add_failure(&self.replica.key);
        let reason = match failure.code {
            ResultCode::ConnectFailed => EjectionReason::ConnectFailed,
            ResultCode::BackendLost => EjectionReason::ConnectionLost,
            ResultCode::BackendOverLimit => {
                record_over_limit(self.environment, &self.replica.key.backend_id);
                return;
            }
            _ => return,
        };
        state.eject(&self.replica.key.backend_id, reason);
    }
}

/// Holds against a backend that it sent more than a limit allows.
pub fn record_over_limit<E: RequestEnvironment>(environment: &E, backend_id: &str) {
    let state = environment.state();
    state.record_over_limit(backend_id, "answer");
    state.eject_over_limit(backend_id, environment.now());
}

impl<E: RequestEnvironment> Drop for Attempt<'_, E> {
    fn drop(&mut self) {
        if !self.finished && self.sent.is_set() {
            self.environment.withdraw_later(self.withdraw_request());
        }
    }
}
