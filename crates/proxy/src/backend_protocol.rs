//! Names of the backend protocol. `docs/BACKEND-PROTOCOL.md` describes it.

/// Names the attempt; the backend echoes it.
pub const ATTEMPT_HEADER: &str = "x-millford-attempt";
/// Names the run that the attempt starts or continues.
pub const RUN_HEADER: &str = "x-millford-run";
/// Time left for the complete answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-millford-deadline-ms";
/// Sequence number from which a run should be continued.
pub const RESUME_FROM_HEADER: &str = "x-millford-resume-from";
/// The backend's confirmation of the sequence number at which it continues the run.
pub const RESUME_AT_HEADER: &str = "x-millford-resume-at";
/// With a refusal: whether the request ran.
pub const RUN_STATE_HEADER: &str = "x-millford-run-state";
/// Value of [`RUN_STATE_HEADER`] in a refusal before any work.
pub const RUN_STATE_NOT_RUN: &str = "not_run";
/// Version of the model that should serve the request.
pub const VERSION_HEADER: &str = "x-millford-version";
/// Stage that should serve the request.
pub const STAGE_HEADER: &str = "x-millford-stage";
/// Adapter to apply.
pub const ADAPTER_HEADER: &str = "x-millford-adapter";
/// Path of completions.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path of the probe.
pub const HEALTH_PATH: &str = "/v1/health";
/// Path under which attempts are withdrawn.
pub const ATTEMPTS_PATH: &str = "/v1/attempts/";
/// With a withdrawal: an upper bound of the attempt's age, in milliseconds.
pub const ATTEMPT_AGE_HEADER: &str = "x-millford-attempt-age-ms";
/// Field of a stream chunk that carries its run and sequence number.
pub const CHUNK_FIELD: &str = "millford";
/// Data of the event that ends a complete stream.
pub const DONE_MARKER: &str = "[DONE]";
/// Name of the event that ends a failed stream.
pub const ERROR_EVENT: &str = "error";
