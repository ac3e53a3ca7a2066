//! The guarantees that are checked.

/// A guarantee of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// What may not be repeated runs at most once.
    AtMostOnce,
    /// "Not run" is true.
    NotRunTruth,
    /// No caller gets another request's answer.
    AnswerIdentity,
    /// No truncated body passes for a complete one, no success is invented.
    CompleteAnswers,
    /// Streams neither skip nor repeat nor splice, and move only where the route allows.
    StreamContinuity,
    /// No node steps back a revision.
    RevisionOrder,
    /// An acknowledged revision governs every node connected within two seconds.
    Adoption,
    /// One winner per base; an order sent again is acknowledged again.
    OneWinner,
    /// A revoked key stops working within two seconds.
    Revocation,
    /// Backends never see a key.
    KeySecrecy,
    /// Quotas hold over all nodes, and nobody under one is refused.
    Quota,
    /// Second sends stay within a fifth of first sends.
    SecondSends,
    /// A draining or vanished backend gets no new work after three seconds.
    Drain,
    /// Acknowledged revisions survive.
    Durability,
    /// Service is back within twelve seconds.
    Recovery,
    /// A bound that the scenario file sets.
    Expectation,
}
