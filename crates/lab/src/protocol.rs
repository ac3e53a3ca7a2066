//! Header names of the backend protocol and of the caller interface, and the clock shared by all
//! processes of one machine.

/// Names the attempt; the backend echoes it.
pub const ATTEMPT_HEADER: &str = "x-millford-attempt";
/// With a withdrawal: an upper bound of the attempt's age, in milliseconds.
pub const ATTEMPT_AGE_HEADER: &str = "x-millford-attempt-age-ms";
/// Names the run that an attempt starts or continues.
pub const RUN_HEADER: &str = "x-millford-run";
/// First sequence number that a continued run should send.
pub const RESUME_FROM_HEADER: &str = "x-millford-resume-from";
/// The backend's confirmation of [`RESUME_FROM_HEADER`].
pub const RESUME_AT_HEADER: &str = "x-millford-resume-at";
/// On a refusal: `not_run` when the backend did no work.
pub const RUN_STATE_HEADER: &str = "x-millford-run-state";
/// Configuration revision that the responding proxy shows.
pub const REVISION_HEADER: &str = "x-millford-revision";
/// Conversation of a caller.
pub const SESSION_HEADER: &str = "x-millford-session";
/// Time that the caller gives the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-millford-deadline-ms";
/// Value of [`RUN_STATE_HEADER`] for work that never began.
pub const NOT_RUN: &str = "not_run";

/// Monotonic microseconds, comparable between the processes of one machine.
///
/// Only the laboratory uses it, to put the logs of its own processes in one order.
#[must_use]
pub fn machine_micros() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1_000
}
