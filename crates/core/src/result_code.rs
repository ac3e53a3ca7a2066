//! Numbered result codes. `docs/ERRORS.md` lists them; a test checks that the list matches.
//!
//! 1xxx: the caller's request; 2xxx: limits and capacity; 3xxx: backends and runs;
//! 4xxx: operators and configuration; 5xxx: control plane; 6xxx: storage; 7xxx: start-up.

use serde::{Deserialize, Serialize};

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// A numbered result, used alike in all interfaces, in logs and for exit statuses.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(into = "u32", try_from = "u32")]
        #[repr(u32)]
        pub enum ResultCode { $($(#[$doc])* $name = $number,)* }

        impl ResultCode {
            /// All codes, ordered by number.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name),*];

            /// Returns a short sentence that explains the code to people.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self { $(ResultCode::$name => $text,)* }
            }

            /// Returns the code with this number, if there is one.
            #[must_use]
            pub fn from_number(number: u32) -> Option<Self> {
                match number { $($number => Some(ResultCode::$name),)* _ => None }
            }

            /// Returns the name of the code, as it is sent to callers.
            #[must_use]
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$name => stringify!($name),)* }
            }
        }
    };
}

result_codes! {
    /// Success.
    Ok = 0, "Done.";
    /// The body is not valid JSON.
    BadJson = 1001, "The request body is not valid JSON.";
    /// A field is missing, of the wrong type or out of range.
    BadField = 1002, "A field of the request is missing or wrong.";
    /// No tenant key in the request.
    KeyMissing = 1003, "The request carries no tenant key.";
    /// The tenant key is unknown or revoked.
    KeyUnknown = 1004, "The tenant key is unknown or revoked.";
    /// No route matches the request.
    NoRoute = 1005, "No route takes this request.";
    /// No route serves the model.
    ModelUnknown = 1006, "No route serves this model.";
    /// The body is larger than the limit.
    BodyTooLarge = 1007, "The request body is too large.";
    /// The headers are larger than the limit.
    HeadersTooLarge = 1008, "The request headers are too large.";
    /// The path does not exist.
    PathUnknown = 1009, "There is nothing at this path.";
    /// The method is not allowed on the path.
    MethodNotAllowed = 1010, "The method is not allowed here.";
    /// A header is malformed.
    BadHeader = 1011, "A request header is malformed.";
    /// The idempotency key was used for a different body.
    IdempotencyKeyReused = 1012, "The idempotency key was used for a different request.";
    /// The content type is not JSON.
    ContentTypeUnsupported = 1013, "The content type must be application/json.";
    /// The body did not arrive completely in time.
    BodyIncomplete = 1014, "The request body did not arrive whole.";
    /// The tenant's request rate is used up.
    QuotaExceeded = 2001, "The tenant's request quota is used up.";
    /// The tenant has as many open streams as its quota allows.
    StreamLimit = 2002, "The tenant has too many streams open.";
    /// Admission control estimates that the first token would come too late, or too many
    /// connections are open.
    Overloaded = 2003, "The backends are too busy to answer in time.";
    /// No quota decision was available within the deadline.
    QuotaUnavailable = 2004, "The quota could not be checked in time.";
    /// The deadline passed before the request was sent to a backend.
    DeadlineBeforeSend = 2005, "The deadline passed before the request was sent.";
    /// The proxy is draining.
    ProxyDraining = 2006, "This node is leaving; send the request to another.";
    /// The proxy has no confirmed configuration yet.
    NotReady = 2007, "This node has no confirmed configuration yet.";
    /// No backend of the route's pool accepts new work.
    NoBackend = 3001, "No backend can take this request now.";
    /// No connection to a backend could be opened; no byte was sent.
    ConnectFailed = 3002, "No backend accepted a connection.";
    /// The backend refused the request before any work on it.
    BackendRefused = 3003, "The backend refused the request before running it.";
    /// The connection to the backend failed after the request was sent, or the backend's drain time
    /// passed before the stream ended.
    BackendLost = 3004, "The backend was lost after the request was sent.";
    /// The answer carries another attempt's id.
    AnswerMismatch = 3005, "The backend's answer belongs to another request.";
    /// The answer ended before its end marker.
    AnswerTruncated = 3006, "The backend's answer was cut short.";
    /// A chunk of a stream is malformed or out of sequence.
    StreamOutOfOrder = 3007, "The backend's stream skipped or repeated a piece.";
    /// The deadline passed after the request was sent.
    DeadlineAfterSend = 3008, "The deadline passed while the request ran.";
    /// The backend reported an error.
    BackendError = 3009, "The backend reported an error.";
    /// An earlier request with the idempotency key ran to completion.
    AlreadyCompleted = 3010, "The request already ran to completion.";
    /// An earlier request with the idempotency key may have run.
    MayHaveRun = 3011, "The request was sent before and may have run.";
    /// An earlier request with the idempotency key ran and failed on a backend.
    AlreadyFailed = 3012, "The request already ran and failed.";
    /// The claim was not confirmed in time.
    ClaimUnavailable = 3013, "The single run of the request could not be reserved.";
    /// The retry budget does not allow another attempt.
    RetryBudgetExhausted = 3014, "No further attempt is allowed now.";
    /// The backend sent no chunk of a stream for too long.
    BackendSilent = 3015, "The backend went silent in the middle of the stream.";
    /// The backend sent a head, an event or a body that is larger than the limits allow.
    BackendOverLimit = 3016, "The backend sent more than its limits allow.";
    /// The configuration document has faults; the response lists all of them.
    DocumentInvalid = 4001, "The configuration has faults.";
    /// Another configuration order was accepted on the same base revision.
    RevisionConflict = 4002, "Another order was accepted on this base revision.";
    /// The order id was used for a different document.
    OrderIdReused = 4003, "The order id was used for a different document.";
    /// The operator credential is missing or wrong.
    OperatorKeyWrong = 4004, "The operator credential is missing or wrong.";
    /// The named backend or service is unknown.
    BackendUnknown = 4005, "No such backend in this service.";
    /// It is unknown whether the order was accepted; it can be sent again with the same order id.
    OrderUncertain = 4006, "The order may or may not have been accepted; send it again.";
    /// A command-line argument is wrong.
    BadArgument = 4007, "A command-line argument is wrong.";
    /// The control node could not be reached.
    ServerUnreachable = 4008, "The control node could not be reached.";
    /// Forced recovery was refused.
    RecoveryRefused = 4009, "Forced recovery was refused.";
    /// The revision number chosen for a configuration is not above the current one.
    RevisionNotAbove = 4010, "The chosen number is not above that of the present configuration.";
    /// The shard has no leader now.
    NoLeader = 5001, "The shard has no leader now.";
    /// This replica does not lead the shard.
    NotLeader = 5002, "This replica does not lead the shard.";
    /// The control plane did not answer in time.
    ControlTimeout = 5003, "The control plane did not answer in time.";
    /// The session has ended.
    SessionClosed = 5004, "The session does not exist any more.";
    /// The node holds no replica of the shard.
    ShardUnknown = 5005, "This node holds no replica of the shard.";
    /// The epoch is older than the current one.
    EpochFenced = 5006, "The epoch is older than the one in force.";
    /// The node has not joined a cluster.
    NotFormed = 5007, "This node has not joined a cluster yet.";
    /// The message cannot be decoded or violates the protocol.
    ProtocolViolation = 5008, "The message breaks the protocol.";
    /// The disk reported an error; the replica stops.
    DiskFailed = 6001, "The disk reported an error.";
    /// The disk is full.
    DiskFull = 6002, "The disk is full.";
    /// A checksum does not match in the middle of a log.
    LogCorrupt = 6003, "The log is corrupt.";
    /// The data folder does not belong to this cluster.
    DataFolderForeign = 6004, "The data folder does not belong to this cluster.";
    /// A setting in the settings file or on the command line is invalid.
    SettingsInvalid = 7001, "The settings have faults.";
    /// An address cannot be bound.
    AddressInUse = 7002, "The address cannot be bound.";
    /// The process cannot start, for a reason without a code of its own.
    StartFailed = 7003, "The process could not start.";
}

impl ResultCode {
    /// Returns the number of the code, as interfaces and logs show it.
    #[must_use]
    pub fn number(self) -> u32 {
        self as u32
    }
}

impl From<ResultCode> for u32 {
    fn from(code: ResultCode) -> u32 {
        code.number()
    }
}

impl TryFrom<u32> for ResultCode {
    type Error = String;

    fn try_from(number: u32) -> Result<Self, String> {
        Self::from_number(number).ok_or_else(|| format!("unknown result code {number}"))
    }
}

impl std::fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {}", self.number(), self.text())
    }
}
