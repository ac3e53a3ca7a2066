//! Until when the last byte must have left.

use millford_core::{Duration, MonotonicTime, ResultCode};
use millford_routing::RouteEntry;

use crate::request::caller::CallerRequest;
use crate::request::refusal::Refusal;

/// Longest deadline that a caller may ask for, in milliseconds: one hour.
pub const LONGEST_DEADLINE_MS: u64 = 3_600_000;

/// The earlier of the route's deadline and the caller's own.
///
/// # Errors
/// Refuses a caller's deadline that is not a number of milliseconds up to one hour.
pub fn deadline_of(route: &RouteEntry, request: &CallerRequest) -> Result<MonotonicTime, Refusal> {
    let mut allowed = route.deadline;
    if let Some(text) = &request.headers.deadline_ms {
        allowed = allowed.min(parse_deadline(text)?);
    }
    Ok(request.arrived + allowed)
}

fn parse_deadline(text: &str) -> Result<Duration, Refusal> {
    let bad = || {
        let detail = "x-millford-deadline-ms must be a whole number from 1 to 3600000.";
        Refusal::not_run(ResultCode::BadHeader).with_detail(detail)
    };
    let millis: u64 = text.trim().parse().map_err(|_| bad())?;
    if millis == 0 || millis > LONGEST_DEADLINE_MS {
        return Err(bad());
    }
    Ok(Duration::from_millis(millis))
}
