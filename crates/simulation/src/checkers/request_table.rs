//! Lookup of earlier client requests and attempts, for the checkers.

use std::collections::BTreeMap;

use crate::history::{AttemptNumber, ContentNumber, Record, RequestNumber, RequestSent};

/// Client requests by number, by attempt and by content.
#[derive(Default)]
pub struct RequestTable {
    requests: BTreeMap<RequestNumber, RequestSent>,
    attempts: BTreeMap<AttemptNumber, RequestNumber>,
    contents: BTreeMap<ContentNumber, RequestSent>,
}

impl RequestTable {
    /// Adds the client request or attempt of a record.
    pub fn observe(&mut self, record: &Record) {
        match record {
            Record::RequestSent(sent) => {
                self.requests.insert(sent.client_request, *sent);
                self.contents.insert(sent.content, *sent);
            }
            Record::Dispatched {
                client_request,
                attempt,
                ..
            } => {
                self.attempts.insert(*attempt, *client_request);
            }
            _ => {}
        }
    }

    /// Returns the client request with this number.
    #[must_use]
    pub fn get(&self, client_request: RequestNumber) -> Option<&RequestSent> {
        self.requests.get(&client_request)
    }

    /// Returns the client request that an attempt belongs to.
    #[must_use]
    pub fn request_of_attempt(&self, attempt: AttemptNumber) -> Option<&RequestSent> {
        self.attempts
            .get(&attempt)
            .and_then(|client_request| self.get(*client_request))
    }

    /// Returns the latest client request with this content.
    #[must_use]
    pub fn latest_of(&self, content: ContentNumber) -> Option<&RequestSent> {
        self.contents.get(&content)
    }
}
