//! Header names of the backend protocol and of the caller interface, and the clock shared by all
//! processes of one machine.

/// Id of the attempt, which the backend echoes in its response.
pub const ATTEMPT_HEADER: &str = "x-millford-attempt";
/// Upper bound of the attempt's age in a withdrawal, in milliseconds.
pub const ATTEMPT_AGE_HEADER: &str = "x-millford-attempt-age-ms";
/// Id of the run that an attempt starts or resumes.
pub const RUN_HEADER: &str = "x-millford-run";
/// Sequence number of the first chunk that a resumed run should send.
pub const RESUME_FROM_HEADER: &str = "x-millford-resume-from";
/// Sequence number at which the backend resumes; confirms [`RESUME_FROM_HEADER`].
pub const RESUME_AT_HEADER: &str = "x-millford-resume-at";
/// State of the run in a refusal: [`NOT_RUN`] when the backend did no work.
pub const RUN_STATE_HEADER: &str = "x-millford-run-state";
/// Configuration revision that the responding proxy applies.
pub const REVISION_HEADER: &str = "x-millford-revision";
/// Id of the session that a request belongs to.
pub const SESSION_HEADER: &str = "x-millford-session";
/// Time that the caller allows for the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-millford-deadline-ms";
/// Value of [`RUN_STATE_HEADER`] for a request on which no work began.
pub const NOT_RUN: &str = "not_run";

/// Returns the kernel's monotonic clock in microseconds, comparable between the processes of one machine.
///
/// Only the laboratory uses it, to order the records of its own processes.
#[must_use]
pub fn machine_micros() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1_000
}
