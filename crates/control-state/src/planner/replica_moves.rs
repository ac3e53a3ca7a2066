//! Backends that join or leave pools because of a change.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::config::Document;
use millford_api::operator::{ChangeKind, ReplicaMove};

use super::catalogue::PlanCatalogue;

/// Returns the backends that a pool selects either only before or only after the change.
pub(super) fn replica_moves(
    before: &Document,
    after: &Document,
    catalogue: &PlanCatalogue,
) -> Vec<ReplicaMove> {
    let old = members_by_pool(before, catalogue);
    let new = members_by_pool(after, catalogue);
    let pools: BTreeSet<&str> = old.keys().chain(new.keys()).copied().collect();
    let none = BTreeSet::new();
    let mut moves = Vec::new();
    for pool in pools {
        let before = old.get(pool).unwrap_or(&none);
        let after = new.get(pool).unwrap_or(&none);
        let removed = before.difference(after).map(|id| (id, ChangeKind::Removed));
        let added = after.difference(before).map(|id| (id, ChangeKind::Added));
        for (backend_id, change) in removed.chain(added) {
            moves.push(ReplicaMove {
                pool: pool.to_owned(),
                backend_id: (*backend_id).to_owned(),
                change,
            });
        }
    }
    moves
}

fn members_by_pool<'plan>(
    document: &'plan Document,
    catalogue: &'plan PlanCatalogue,
) -> BTreeMap<&'plan str, BTreeSet<&'plan str>> {
    let mut members = BTreeMap::new();
    for pool in &document.pools {
        let ids = catalogue.members(pool).map(|backend| backend.id.as_str());
        members.insert(pool.name.as_str(), ids.collect());
    }
    members
}
