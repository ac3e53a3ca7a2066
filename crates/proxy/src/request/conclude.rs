//! The end of a request: its refusal, if any, goes out, and its record is completed.

use millford_core::ResultCode;

use crate::request::caller::CallerSink;
use crate::request::environment::RequestEnvironment;
use crate::request::first_answer::Unserved;
use crate::request::record::RequestRecord;
use crate::request::reply::Reply;

/// Writes how the request ended into its record and gives the caller a refusal.
pub async fn conclude<E, C>(
    served: Result<(), Unserved>,
    reply: &mut Reply<'_, E, C>,
    record: &mut RequestRecord,
) where
    E: RequestEnvironment,
    C: CallerSink,
{
    match served {
        Ok(()) => record.code = ResultCode::Ok,
        Err(Unserved::Refused(refusal)) => {
            record.code = refusal.code;
            // The refusal goes out at once; a caller that left does not need it.
            let _ = reply.refuse(&refusal).await;
        }
        Err(Unserved::CallerDisconnected(_)) => record.caller_disconnected = true,
    }
}
