//! Planted defects, to show that each checker catches its fault. For tests only.

use crate::checkers::Guarantee;

/// A defect that a run can be given on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Proxies send some requests to two backends.
    SendsTwice,
    /// Proxies report every failure as "not run".
    DeniesRuns,
    /// Callers get the content of another client request.
    SwapsAnswers,
    /// Callers are told that a truncated answer is complete.
    HidesTruncation,
    /// A chunk of some streams is left out.
    SkipsChunks,
    /// Proxies fall back to the first revision when they restart.
    ForgetsRevisions,
    /// One proxy node never gets new revisions.
    HoldsRevisions,
    /// Control nodes accept any order.
    AcceptsAll,
    /// Proxy nodes accept revoked keys.
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
    IgnoredSyncs,
    /// A proxy node never serves again after a restart.
    StaysDown,
}

impl Defect {
    /// Every defect with the guarantee that it breaks.
    pub const ALL: [(Defect, Guarantee); 16] = [
        (Defect::SendsTwice, Guarantee::AtMostOnce),
        (Defect::DeniesRuns, Guarantee::NotRunTruth),
        (Defect::SwapsAnswers, Guarantee::AnswerIdentity),
        (Defect::HidesTruncation, Guarantee::CompleteAnswers),
        (Defect::SkipsChunks, Guarantee::StreamContinuity),
        (Defect::ForgetsRevisions, Guarantee::RevisionOrder),
        (Defect::HoldsRevisions, Guarantee::Adoption),
        (Defect::AcceptsAll, Guarantee::OneWinner),
        (Defect::KeepsKeys, Guarantee::Revocation),
        (Defect::LeaksKeys, Guarantee::KeySecrecy),
        (Defect::GrantsAll, Guarantee::Quota),
        (Defect::RefusesSome, Guarantee::Quota),
        (Defect::HedgesAlways, Guarantee::SecondSends),
        (Defect::HidesRetirements, Guarantee::Drain),
        (Defect::IgnoredSyncs, Guarantee::Durability),
        (Defect::StaysDown, Guarantee::Recovery),
    ];
}
