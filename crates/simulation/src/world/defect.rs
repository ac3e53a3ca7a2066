//! Planted defects, to show that each checker catches its fault. For tests only.

use crate::checkers::Promise;

/// A defect that a run can be given on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Proxies send some requests to two backends.
    SendsTwice,
    /// Proxies call every failure "not run".
    DeniesRuns,
    /// Callers get the content of another call.
    SwapsAnswers,
    /// Callers are told that a cut answer is whole.
    HidesCuts,
    /// A piece of some streams is left out.
    SkipsPieces,
    /// Proxies fall back to the first revision when they restart.
    ForgetsRevisions,
    /// One front machine never gets new revisions.
    HoldsRevisions,
    /// Control nodes accept any order.
    AcceptsAll,
    /// Front machines take revoked keys.
    KeepsKeys,
    /// Requests to backends carry the key.
    LeaksKeys,
    /// Agents grant every quota request.
    GrantsAll,
    /// Agents refuse every fifth quota request.
    RefusesSome,
    /// Proxies send every lookup twice.
    HedgesAlways,
    /// The registry's retirements never reach the control nodes.
    HidesRetirements,
    /// Disks lie about syncs.
    LyingDisks,
    /// A front machine never serves again after a restart.
    StaysDown,
}

impl Defect {
    /// Every defect with the promise that it breaks.
    pub const ALL: [(Defect, Promise); 16] = [
        (Defect::SendsTwice, Promise::AtMostOnce),
        (Defect::DeniesRuns, Promise::NotRunTruth),
        (Defect::SwapsAnswers, Promise::AnswerIdentity),
        (Defect::HidesCuts, Promise::CompleteAnswers),
        (Defect::SkipsPieces, Promise::StreamContinuity),
        (Defect::ForgetsRevisions, Promise::RevisionOrder),
        (Defect::HoldsRevisions, Promise::Adoption),
        (Defect::AcceptsAll, Promise::OneWinner),
        (Defect::KeepsKeys, Promise::Revocation),
        (Defect::LeaksKeys, Promise::KeySecrecy),
        (Defect::GrantsAll, Promise::Quota),
        (Defect::RefusesSome, Promise::Quota),
        (Defect::HedgesAlways, Promise::SecondSends),
        (Defect::HidesRetirements, Promise::Drain),
        (Defect::LyingDisks, Promise::Durability),
        (Defect::StaysDown, Promise::Recovery),
    ];
}
