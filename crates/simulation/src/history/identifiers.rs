//! Identifiers of requests, attempts, machines and backends in the history.

/// A client request: one send of a caller. A resend has another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(pub u64);

/// Content of a client request: all resends of a request have the same content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentNumber(pub u64);

/// An attempt: one send of a request by a proxy to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u64);

/// A proxy node, numbered from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProxyNodeNumber(pub u16);

/// A backend, numbered from 1; a replacement has another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendNumber(pub u16);
