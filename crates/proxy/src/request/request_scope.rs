//! State that every request needs: its id, its record and the response to its caller.

use millford_core::ResultCode;

use crate::request::caller::CallerSink;
use crate::request::environment::RequestEnvironment;
use crate::request::plan::random_id;
use crate::request::record::{OpenRequest, RequestRecord};
use crate::request::reply::Reply;
use crate::request::unserved::Unserved;

/// One request, from its arrival until it is counted.
pub(super) struct RequestScope<'a, E, C> {
    /// Response to the caller.
    pub(super) reply: Reply<'a, E, C>,
    /// Record of the request for metrics and logs.
    pub(super) record: RequestRecord,
    environment: &'a E,
    open: OpenRequest<'a>,
}

impl<'a, E: RequestEnvironment, C: CallerSink> RequestScope<'a, E, C> {
    /// Assigns an id to a request that has arrived and counts it as open.
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

    /// Ends the request: sends its refusal, if there is one, and completes and counts its record.
    pub(super) async fn conclude(mut self, served: Result<(), Unserved>) -> RequestRecord {
        match served {
            Ok(()) => self.record.code = ResultCode::Ok,
            Err(Unserved::Refused(refusal)) => {
                self.record.code = refusal.code;
                // A refusal that cannot be delivered is ignored: the caller has disconnected or
                // does not read.
                let _ = self.reply.refuse(&refusal).await;
            }
            Err(Unserved::CallerDisconnected(_)) => self.record.caller_disconnected = true,
        }
        drop(self.open);
        self.record.count(self.environment.state());
        self.record
    }
}
