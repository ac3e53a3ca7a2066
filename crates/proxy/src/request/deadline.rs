//! The deadline by which the last byte of the answer must have been sent to the caller.

use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_routing::RouteEntry;

use crate::request::caller::CallerRequest;
use crate::request::refusal::Refusal;

/// Longest deadline that a caller may set, in milliseconds: one hour.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Returns the earlier of the route's deadline and the caller's own, if it sent one. Both count
/// from the arrival of the request.
///
/// # Errors
/// Refuses a caller's deadline that is not a whole number of milliseconds from 1 to one hour.
pub fn effective_deadline(
    route: &RouteEntry,
    request: &CallerRequest,
) -> Result<MonotonicTime, Refusal> {
    let mut allowed = route.deadline;
    if let Some(text) = &request.headers.deadline_ms {
        allowed = allowed.min(parse_deadline(text)?);
    }
    Ok(request.arrived + allowed)
}

fn parse_deadline(text: &str) -> Result<Duration, Refusal> {
    let bad_header = || {
        let detail = "x-millford-deadline-ms must be a whole number from 1 to 3600000.";
        Refusal::not_run(ResultCode::BadHeader).with_detail(detail)
    };
    let millis: u64 = text.trim().parse().map_err(|_| bad_header())?;
    if millis == 0 || millis > MAX_DEADLINE_MS {
        return Err(bad_header());
    }
    Ok(Duration::from_millis(millis))
}
