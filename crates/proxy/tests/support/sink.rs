//! A caller that records its response and may disconnect.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use futures::future::pending;
use millford_core::{MonotonicTime, ResultCode};
use millford_proxy::request::caller::{CallerDisconnected, CallerHead, CallerPresence, CallerSink};

use super::clock::SimulatedClock;

/// The response that the caller received.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerResponse {
    pub(crate) head: Option<CallerHead>,
    pub(crate) body: Vec<u8>,
    pub(crate) complete: bool,
    pub(crate) ended_at: MonotonicTime,
}

impl CallerResponse {
    pub(crate) fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, |head| head.status)
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8(self.body.clone()).expect("text")
    }

    /// Returns the sequence numbers of the chunks, in the order of arrival.
    pub(crate) fn sequences(&self) -> Vec<u64> {
        let text = self.text();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.map(|id| id.parse().expect("sequence")).collect()
    }

    pub(crate) fn is_done(&self) -> bool {
        self.text().ends_with("data: [DONE]\n\n")
    }

    /// Parses the error body from the complete response or from the last event of a stream.
    pub(crate) fn error(&self) -> ErrorResponse {
        let text = self.text();
        let json = match text.rsplit_once("event: error\ndata: ") {
            Some((_, event)) => event.trim().to_owned(),
            None => text,
        };
        let body: serde_json::Value = serde_json::from_str(&json).expect("error body");
        let error = &body["error"];
        let code = u32::try_from(error["code"].as_u64().expect("code")).expect("code");
        ErrorResponse {
            code: ResultCode::from_number(code).expect("known code"),
            run: error["run"].as_str().expect("run").to_owned(),
            retry_after_ms: error["retry_after_ms"].as_u64(),
        }
    }
}

/// The fields of an error body that the tests check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ErrorResponse {
    pub(crate) code: ResultCode,
    pub(crate) run: String,
    pub(crate) retry_after_ms: Option<u64>,
}

/// A caller with simulated time.
#[derive(Clone, Debug)]
pub(crate) struct RecordingSink {
    clock: SimulatedClock,
    response: Arc<Mutex<CallerResponse>>,
    disconnects_at: Option<MonotonicTime>,
}

impl RecordingSink {
    pub(crate) fn new(clock: SimulatedClock) -> Self {
        Self {
            clock,
            response: Arc::default(),
            disconnects_at: None,
        }
    }

    pub(crate) fn disconnecting_at(mut self, at: MonotonicTime) -> Self {
        self.disconnects_at = Some(at);
        self
    }

    pub(crate) fn response(&self) -> CallerResponse {
        self.response.lock().expect("response").clone()
    }

    fn check_present(&self) -> Result<(), CallerDisconnected> {
        match self.disconnects_at {
            Some(at) if self.clock.now() >= at => Err(CallerDisconnected),
            _ => Ok(()),
        }
    }
}

impl CallerPresence for RecordingSink {
    async fn disconnected(&self) {
        match self.disconnects_at {
            Some(at) => self.clock.sleep(at.since(self.clock.now())).await,
            None => pending().await,
        }
    }
}

impl CallerSink for RecordingSink {
    type Presence = RecordingSink;

    fn presence(&self) -> RecordingSink {
        self.clone()
    }

    async fn begin(&mut self, head: CallerHead) -> Result<(), CallerDisconnected> {
        self.check_present()?;
        let mut response = self.response.lock().expect("response");
        assert!(response.head.is_none(), "the head is sent twice");
        response.head = Some(head);
        Ok(())
    }

    async fn send(&mut self, bytes: Bytes) -> Result<(), CallerDisconnected> {
        self.check_present()?;
        let mut response = self.response.lock().expect("response");
        assert!(
            !response.complete,
            "bytes are sent after the end of the response"
        );
        response.body.extend_from_slice(&bytes);
        Ok(())
    }

    fn finish(&mut self) {
        let mut response = self.response.lock().expect("response");
        response.complete = true;
        response.ended_at = self.clock.now();
    }
}
