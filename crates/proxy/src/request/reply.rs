//! Writes the response to the caller: a plain answer, a stream or a refusal.

use bytes::Bytes;
use millford_core::{MonotonicTime, ResultCode};

use crate::backend_protocol::{DONE_MARKER, ERROR_EVENT};
use crate::request::caller::{CallerDisconnected, CallerHead, CallerSink};
use crate::request::environment::RequestEnvironment;
use crate::request::refusal::Refusal;
use crate::request::wait::{WaitOutcome, wait_until};

const JSON: &str = "application/json";
const EVENT_STREAM: &str = "text/event-stream";

/// Longest time to deliver the error event of a stream, counted from its failure. It also applies
/// after the request's deadline.
const FINAL_SEND_TIMEOUT: millford_core::Duration = millford_core::Duration::from_secs(1);

/// Reason why a part of the response could not be delivered to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyError {
    /// The caller disconnected.
    CallerDisconnected,
    /// The time limit passed while the caller read too slowly.
    TimedOut,
}

impl From<CallerDisconnected> for ReplyError {
    fn from(_: CallerDisconnected) -> Self {
        ReplyError::CallerDisconnected
    }
}

/// The response to one caller.
pub struct Reply<'a, E, C> {
    environment: &'a E,
    sink: &'a mut C,
    request_id: String,
    revision: u64,
    begun: bool,
}

impl<'a, E: RequestEnvironment, C: CallerSink> Reply<'a, E, C> {
    /// Creates a response of which nothing has been sent.
    pub fn new(environment: &'a E, sink: &'a mut C, request_id: String, revision: u64) -> Self {
        Self {
            environment,
            sink,
            request_id,
            revision,
            begun: false,
        }
    }

    /// Returns a handle that detects the caller's disconnect.
    #[must_use]
    pub fn presence(&self) -> C::Presence {
        self.sink.presence()
    }

    /// Sends the head of a stream.
    ///
    /// # Errors
    /// Fails when the caller disconnected.
    pub async fn begin_stream(&mut self) -> Result<(), ReplyError> {
        let head = self.head(200, EVENT_STREAM, None, None);
        self.begun = true;
        Ok(self.sink.begin(head).await?)
    }

    /// Sends an event of the stream, at the latest at the deadline.
    ///
    /// # Errors
    /// Fails when the caller disconnected or the deadline passed.
    pub async fn send_event(
        &mut self,
        event: Bytes,
        deadline: MonotonicTime,
    ) -> Result<(), ReplyError> {
        let presence = self.sink.presence();
        let sending = self.sink.send(event);
        match wait_until(self.environment, &presence, deadline, sending).await {
            WaitOutcome::Ready(sent) => Ok(sent?),
            WaitOutcome::TimedOut => Err(ReplyError::TimedOut),
            WaitOutcome::CallerDisconnected => Err(ReplyError::CallerDisconnected),
        }
    }

    /// Sends the end marker of a complete stream and ends the body.
    ///
    /// # Errors
    /// Fails when the caller disconnected or the deadline passed.
    pub async fn send_done(&mut self, deadline: MonotonicTime) -> Result<(), ReplyError> {
        let event = Bytes::from(format!("data: {DONE_MARKER}\n\n"));
        self.send_event(event, deadline).await?;
        self.sink.finish();
        Ok(())
    }

    /// Sends a complete plain answer.
    ///
    /// # Errors
    /// Fails when the caller disconnected.
    pub async fn send_complete(
        &mut self,
        body: Bytes,
        content_type: &str,
    ) -> Result<(), ReplyError> {
        let head = self.head(200, content_type, Some(body.len()), None);
        self.begun = true;
        self.sink.begin(head).await?;
        self.sink.send(body).await?;
        self.sink.finish();
        Ok(())
    }

    /// Sends a refusal: as the complete response, or as the last event of a stream that has begun.
    ///
    /// # Errors
    /// Fails when the caller disconnected, or when the last event could not be delivered in time.
    pub async fn refuse(&mut self, refusal: &Refusal) -> Result<(), ReplyError> {
        if self.begun {
            return self.end_stream_with_error(refusal).await;
        }
        let body = Bytes::from(refusal.body());
        let retry_after = refusal.retry_after_ms;
        let head = self.head(refusal.status(), JSON, Some(body.len()), retry_after);
        self.begun = true;
        self.sink.begin(head).await?;
        self.sink.send(body).await?;
        self.sink.finish();
        Ok(())
    }

    /// Ends a stream with an error event. No end marker follows, so that a truncated stream cannot
    /// be taken for a complete one.
    async fn end_stream_with_error(&mut self, refusal: &Refusal) -> Result<(), ReplyError> {
        let event = format!("event: {ERROR_EVENT}\ndata: {}\n\n", refusal.body());
        let until = self.environment.now() + FINAL_SEND_TIMEOUT;
        self.send_event(Bytes::from(event), until).await?;
        self.sink.finish();
        Ok(())
    }

    fn head(
        &self,
        status: u16,
        content_type: &str,
        content_length: Option<usize>,
        retry_after_ms: Option<u32>,
    ) -> CallerHead {
        CallerHead {
            status,
            content_type: content_type.to_owned(),
            content_length,
            request_id: self.request_id.clone(),
            revision: self.revision,
            retry_after_ms,
        }
    }
}

/// Returns the result code under which a failure to deliver the response is counted.
#[must_use]
pub fn code_of(error: ReplyError) -> ResultCode {
    match error {
        ReplyError::CallerDisconnected => ResultCode::Ok,
        ReplyError::TimedOut => ResultCode::DeadlineAfterSend,
    }
}
