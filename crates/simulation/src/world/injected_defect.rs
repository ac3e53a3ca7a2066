//! Defects that tests inject to verify that the checkers detect them.

use crate::checkers::Guarantee;

/// A defect of the system under test, injected into a run to verify its checker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// Proxies send every model request to a second backend as well.
    DuplicateModelRequests,
    /// Every refusal reports "not run" to its caller.
    FalseNotRun,
    /// Callers receive chunks of another content.
    SwappedContent,
    /// Every answer with status 200 counts as complete, also a truncated one.
    FalseCompletion,
    /// The third chunk of every stream is left out.
    SkippedChunk,
    /// Restarted proxies start with the first configuration that they ever had.
    RevisionRollback,
    /// The first proxy node applies no revision after its first.
    StaleRevision,
    /// Operators receive an acceptance in place of a revision conflict.
    AcceptedConflict,
    /// Proxies accept revoked keys as if they were the current ones.
    RevokedKeyAccepted,
    /// Requests to backends contain the tenant key.
    LeakedKey,
    /// Every quota request is granted.
    UnlimitedQuota,
    /// A fifth of the quota requests, at random, is refused.
    FalseQuotaRefusal,
    /// Proxies send every lookup to a second backend as well.
    DuplicateLookups,
    /// Retired backends stay active in the registry's list, so control nodes do not drain them.
    UnlistedRetirement,
    /// Disks confirm syncs without making anything durable.
    IgnoredSyncs,
    /// The proxy of the first proxy node does not restart.
    NoRestart,
}

impl InjectedDefect {
    /// Every defect, with the guarantee that it violates.
    pub const ALL: [(InjectedDefect, Guarantee); 16] = [
        (
            InjectedDefect::DuplicateModelRequests,
            Guarantee::AtMostOnce,
        ),
        (InjectedDefect::FalseNotRun, Guarantee::NotRunTruth),
        (InjectedDefect::SwappedContent, Guarantee::AnswerIdentity),
        (InjectedDefect::FalseCompletion, Guarantee::CompleteAnswers),
        (InjectedDefect::SkippedChunk, Guarantee::StreamContinuity),
        (InjectedDefect::RevisionRollback, Guarantee::RevisionOrder),
        (InjectedDefect::StaleRevision, Guarantee::Adoption),
        (InjectedDefect::AcceptedConflict, Guarantee::OneWinner),
        (InjectedDefect::RevokedKeyAccepted, Guarantee::Revocation),
        (InjectedDefect::LeakedKey, Guarantee::KeySecrecy),
        (InjectedDefect::UnlimitedQuota, Guarantee::Quota),
        (InjectedDefect::FalseQuotaRefusal, Guarantee::Quota),
        (InjectedDefect::DuplicateLookups, Guarantee::SecondSends),
        (InjectedDefect::UnlistedRetirement, Guarantee::Drain),
        (InjectedDefect::IgnoredSyncs, Guarantee::Durability),
        (InjectedDefect::NoRestart, Guarantee::Recovery),
    ];
}
