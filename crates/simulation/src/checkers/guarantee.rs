//! The guarantees that the checkers verify.

/// A guarantee of the system. Reports print the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// A request that is not repeatable runs at most once.
    AtMostOnce,
    /// A request that is reported as "not run" never runs.
    NotRunTruth,
    /// No caller receives the answer to another request.
    AnswerIdentity,
    /// No truncated answer is reported as complete, and no success without a completed run.
    CompleteAnswers,
    /// Streams skip and repeat no chunk, never mix runs, and move to another backend only if the route allows.
    StreamContinuity,
    /// No proxy node returns to an older revision.
    RevisionOrder,
    /// Every connected proxy node applies an acknowledged revision within two seconds.
    Adoption,
    /// At most one order is accepted per base revision, and a resend gets the same answer.
    OneWinner,
    /// A revoked key is no longer accepted after two seconds.
    Revocation,
    /// No request to a backend contains a tenant key.
    KeySecrecy,
    /// Quotas hold over all proxy nodes together, and no tenant below its quota is refused.
    Quota,
    /// The number of second sends is at most a fifth of that of first sends.
    SecondSends,
    /// A draining or unavailable backend gets no new request after three seconds.
    Drain,
    /// Acknowledged revisions are durable, and no read returns an older one.
    Durability,
    /// Every proxy node serves again within twelve seconds of the last fault.
    Recovery,
    /// The measured figures are within the bounds of the scenario file.
    Expectation,
}
