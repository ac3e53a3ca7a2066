//! Computation of a complete plan.

use millford_api::config::Document;
use millford_api::operator::Plan;

use super::catalogue::PlanCatalogue;
use super::document_changes::DocumentChanges;
use super::replica_moves::replica_moves;
use super::session_moves::session_moves;
use super::warnings::warnings;

/// Computes the effects of replacing `before` with `after`. `sessions` are the hashes of the
/// sessions whose homes are compared: those of real sessions, or those from
/// [`super::sample_sessions`].
#[must_use]
pub fn plan(
    before: &Document,
    after: &Document,
    catalogue: &PlanCatalogue,
    sessions: &[u64],
) -> Plan {
    let changes = DocumentChanges::between(before, after);
    Plan {
        keys: changes.keys(),
        quotas: changes.quotas(),
        replicas: replica_moves(before, after, catalogue),
        sessions: session_moves(before, after, catalogue, sessions),
        warnings: warnings(before, after, catalogue),
        changed_items: changes.item_count(),
        changed_bytes: changes.item_bytes(),
        routes: changes.routes,
        pools: changes.pools,
        tenants: changes.tenants,
    }
}
