//! Header names, paths and markers of the backend protocol. `docs/BACKEND-PROTOCOL.md` describes
//! the protocol.

/// Id of the attempt; the backend echoes it in its answer.
pub const ATTEMPT_HEADER: &str = "x-millford-attempt";
/// Id of the run that the attempt starts or continues.
pub const RUN_HEADER: &str = "x-millford-run";
/// Time left until the complete answer is due, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-millford-deadline-ms";
/// Sequence number of the chunk from which the backend should continue the run.
pub const RESUME_FROM_HEADER: &str = "x-millford-resume-from";
/// Sequence number at which the backend confirms that it continues the run.
pub const RESUME_AT_HEADER: &str = "x-millford-resume-at";
/// In a refusal: whether the request ran.
pub const RUN_STATE_HEADER: &str = "x-millford-run-state";
/// Value of [`RUN_STATE_HEADER`] when the backend refused the request before any work on it.
pub const RUN_STATE_NOT_RUN: &str = "not_run";
/// Model version that should serve the request.
pub const VERSION_HEADER: &str = "x-millford-version";
/// Stage that should serve the request.
pub const STAGE_HEADER: &str = "x-millford-stage";
/// Adapter to apply to the model.
pub const ADAPTER_HEADER: &str = "x-millford-adapter";
/// Path of completion requests.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path of health probes.
pub const HEALTH_PATH: &str = "/v1/health";
/// Path prefix for withdrawing an attempt; the attempt id follows it.
pub const ATTEMPTS_PATH: &str = "/v1/attempts/";
/// In a withdrawal: an upper bound on the attempt's age, in milliseconds.
pub const ATTEMPT_AGE_HEADER: &str = "x-millford-attempt-age-ms";
/// JSON field of a stream chunk with its run id and sequence number.
pub const CHUNK_FIELD: &str = "millford";
/// Data of the last event of a complete stream.
pub const DONE_MARKER: &str = "[DONE]";
/// Name of the last event of a failed stream.
pub const ERROR_EVENT: &str = "error";
