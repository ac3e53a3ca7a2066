//! One entry of the history.

use millford_core::MonotonicTime;

use crate::history::call::{CallEnd, CallSent, Piece};
use crate::history::identifiers::{
    AttemptNumber, BackendNumber, CallNumber, ContentNumber, FrontNumber,
};
use crate::history::order::{OrderAnswer, OrderNumber};
use crate::network::MachineId;

/// Something that happened, at a true time that the history keeps beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// Rate and burst of a tenant's quota, from the start of the run.
    Quota {
        tenant: u16,
        per_second: u32,
        burst: u32,
    },
    /// A caller sent a request.
    CallSent(CallSent),
    /// A proxy took a call in. Calls pile up before a frozen one, and arrive when it goes on.
    CallArrived { call: CallNumber },
    /// A proxy admitted a call under its tenant's quota.
    Admitted { call: CallNumber },
    /// The token of an admitted call was given back: nothing was sent.
    AdmissionReturned { call: CallNumber },
    /// A piece reached the caller.
    CallPiece { call: CallNumber, piece: Piece },
    /// The caller knows the end, and the revision that the answer named.
    CallEnded {
        call: CallNumber,
        end: CallEnd,
        revision: Option<u64>,
    },
    /// A proxy sent a request to a backend.
    Dispatched {
        call: CallNumber,
        attempt: AttemptNumber,
        front: FrontNumber,
        backend: BackendNumber,
        /// Whether an earlier attempt of the call was sent.
        second: bool,
    },
    /// A request reached a backend; whether any part of it holds a tenant key.
    BackendReceived {
        backend: BackendNumber,
        attempt: AttemptNumber,
        key_seen: bool,
    },
    /// A backend began to work.
    BackendStarted {
        backend: BackendNumber,
        attempt: AttemptNumber,
        content: ContentNumber,
        run: u64,
        /// First piece, 0 unless resumed.
        from: u64,
    },
    /// A backend did all the work of an attempt, with success.
    BackendFinished {
        attempt: AttemptNumber,
        content: ContentNumber,
        /// Pieces of the whole run.
        pieces: u64,
    },
    /// The registry calls the backend draining, or the backend died or went dark.
    BackendLeaving { backend: BackendNumber },
    /// The backend takes work again.
    BackendReturned { backend: BackendNumber },
    /// An operator sent an order.
    OrderSent { order: OrderNumber, base: u64 },
    /// An operator got an answer to an order.
    OrderAnswered {
        order: OrderNumber,
        base: u64,
        answer: OrderAnswer,
    },
    /// An accepted order removed a tenant key.
    KeyRevoked { key: u32, revision: u64 },
    /// A front machine's proxy routes by a revision from now on.
    RevisionShown { front: FrontNumber, revision: u64 },
    /// A proxy starts: it shows and serves nothing until it is ready.
    FrontStarted { front: FrontNumber },
    /// A process of a front machine runs again after a freeze or a restart.
    FrontResumed { front: FrontNumber },
    /// A control node answered a confirmed read of the configuration, sent at a true time.
    RevisionRead {
        revision: u64,
        digest: u64,
        sent: MonotonicTime,
    },
    /// Digest of the document of an accepted revision.
    RevisionWritten { revision: u64, digest: u64 },
    /// A front machine's agent says whether it is in touch.
    Touch { front: FrontNumber, in_touch: bool },
    /// A fault began; what it disturbs.
    FaultBegan {
        fault: u32,
        machines: Vec<MachineId>,
    },
    /// Its machines are back.
    FaultEnded {
        fault: u32,
        machines: Vec<MachineId>,
    },
}
