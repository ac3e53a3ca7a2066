//! What surrounds every request: its id, its record and the way back to its caller.

use millford_core::ResultCode;

use crate::request::caller::CallerSink;
use crate::request::environment::RequestEnvironment;
use crate::request::plan::random_id;
use crate::request::record::{OpenRequest, RequestRecord};
use crate::request::reply::Reply;
use crate::request::unserved::Unserved;

/// One request from its arrival to its counted end.
pub(super) struct RequestScope<'a, E, C> {
    /// The answer to the caller.
    pub(super) reply: Reply<'a, E, C>,
    /// What is counted and logged of the request.
    pub(super) record: RequestRecord,
    environment: &'a E,
    open: OpenRequest<'a>,
}

impl<'a, E: RequestEnvironment, C: CallerSink> RequestScope<'a, E, C> {
    /// A request that has just arrived.
    pub(super) fn begin(environment: &'a E, caller: &'a mut C) -> Self {
        let request_id = random_id([environment.random(), environment.random()]);
        let revision = environment.state().table().revision();
        let record = RequestRecord::new(request_id.clone());
        Self {
            reply: Reply::new(environment, caller, request_id, revision),
            record,
            environment,
            open: OpenRequest::start(environment.state()),
        }
    }

    /// Ends the request: its refusal, if any, goes out, and its record is completed and counted.
    pub(super) async fn conclude(mut self, served: Result<(), Unserved>) -> RequestRecord {
        match served {
            Ok(()) => self.record.code = ResultCode::Ok,
            Err(Unserved::Refused(refusal)) => {
                self.record.code = refusal.code;
                // The refusal goes out at once; a caller that disconnected does not need it.
                let _ = self.reply.refuse(&refusal).await;
            }
            Err(Unserved::CallerDisconnected(_)) => self.record.caller_disconnected = true,
        }
        drop(self.open);
        self.record.count(self.environment.state());
        self.record
    }
}
