//! Calls and attempts by number, for checkers that need to look back.

use std::collections::BTreeMap;

use crate::history::{AttemptNumber, CallNumber, CallSent, ContentNumber, Record};

/// What was sent, by call and by attempt.
#[derive(Default)]
pub struct CallTable {
    calls: BTreeMap<CallNumber, CallSent>,
    attempts: BTreeMap<AttemptNumber, CallNumber>,
    contents: BTreeMap<ContentNumber, CallSent>,
}

impl CallTable {
    /// Learns from a record.
    pub fn observe(&mut self, record: &Record) {
        match record {
            Record::CallSent(sent) => {
                self.calls.insert(sent.call, *sent);
                self.contents.insert(sent.content, *sent);
            }
            Record::Dispatched { call, attempt, .. } => {
                self.attempts.insert(*attempt, *call);
            }
            _ => {}
        }
    }

    /// The call with this number.
    #[must_use]
    pub fn call(&self, call: CallNumber) -> Option<&CallSent> {
        self.calls.get(&call)
    }

    /// The call that an attempt belongs to.
    #[must_use]
    pub fn call_of(&self, attempt: AttemptNumber) -> Option<&CallSent> {
        self.attempts
            .get(&attempt)
            .and_then(|call| self.call(*call))
    }

    /// The latest call for a content.
    #[must_use]
    pub fn content(&self, content: ContentNumber) -> Option<&CallSent> {
        self.contents.get(&content)
    }
}
