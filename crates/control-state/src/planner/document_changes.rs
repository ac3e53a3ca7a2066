//! Differences between two documents, compared item by item.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::config::{Document, Tenant};
use millford_api::operator::{ChangeKind, KeyMove, NamedChange, QuotaMove};
use millford_api::state::{StateItem, StateValue, state_value::Kind};
use prost::Message;
use serde::Serialize;
use serde_json::Value;

use crate::document;

/// Digits of a key's hash that a plan displays: enough to tell keys apart, too few to search for
/// the key.
const DISPLAYED_HASH_DIGITS: usize = 8;

/// One item before and after the change; an absent value means that there is no such item.
struct ItemChange {
    key: String,
    before: Option<Kind>,
    after: Option<Kind>,
}

/// A tenant before and after the change; at least one of them is present.
struct TenantChange<'changes> {
    before: Option<&'changes Tenant>,
    after: Option<&'changes Tenant>,
}

impl TenantChange<'_> {
    fn name(&self) -> &str {
        let tenant = self.before.or(self.after);
        tenant.map_or("", |tenant| &tenant.name)
    }
}

/// All differences between two documents.
pub(super) struct DocumentChanges {
    pub(super) routes: Vec<NamedChange>,
    pub(super) pools: Vec<NamedChange>,
    pub(super) tenants: Vec<NamedChange>,
    items: Vec<ItemChange>,
}

impl DocumentChanges {
    /// Compares the items in which the documents are stored.
    pub(super) fn between(before: &Document, after: &Document) -> Self {
        let mut changes = Self {
            routes: Vec::new(),
            pools: Vec::new(),
            tenants: Vec::new(),
            items: Vec::new(),
        };
        let mut old = document::items(before);
        for (key, new) in document::items(after) {
            let former = old.remove(&key);
            if former.as_ref() != Some(&new) {
                changes.record(key, former, Some(new));
            }
        }
        for (key, removed) in old {
            changes.record(key, Some(removed), None);
        }
        changes.sort();
        changes
    }

    /// Returns the tenants' keys that become valid or are revoked.
    pub(super) fn keys(&self) -> Vec<KeyMove> {
        let mut moves = Vec::new();
        for tenant in self.tenants() {
            let old = key_set(tenant.before);
            let new = key_set(tenant.after);
            let removed = old.difference(&new).map(|hash| (hash, ChangeKind::Removed));
            let added = new.difference(&old).map(|hash| (hash, ChangeKind::Added));
            for (hash, change) in removed.chain(added) {
                moves.push(KeyMove {
                    tenant: tenant.name().to_owned(),
                    key_hash_prefix: hash.chars().take(DISPLAYED_HASH_DIGITS).collect(),
                    change,
                });
            }
        }
        moves
    }

    /// Returns the quotas that change, including those of new and removed tenants.
    pub(super) fn quotas(&self) -> Vec<QuotaMove> {
        self.tenants()
            .map(|tenant| QuotaMove {
                tenant: tenant.name().to_owned(),
                before: tenant.before.and_then(|before| before.quota),
                after: tenant.after.and_then(|after| after.quota),
            })
            .filter(|quota| quota.before != quota.after)
            .collect()
    }

    /// Returns the number of items that the change sends to every node.
    pub(super) fn item_count(&self) -> u64 {
        self.items.len() as u64
    }

    /// Returns the encoded size of these items, in bytes.
    pub(super) fn item_bytes(&self) -> u64 {
        self.items.iter().map(item_bytes).sum()
    }

    /// Adds a changed item and, for a route, pool or tenant, an entry with its name.
    fn record(&mut self, key: String, before: Option<Kind>, after: Option<Kind>) {
        let list = match after.as_ref().or(before.as_ref()) {
            Some(Kind::Route(_) | Kind::ForwardRoute(_)) => Some(&mut self.routes),
            Some(Kind::Pool(_)) => Some(&mut self.pools),
            Some(Kind::Tenant(_)) => Some(&mut self.tenants),
            _ => None,
        };
        if let Some(list) = list {
            list.push(named_change(&key, before.as_ref(), after.as_ref()));
        }
        self.items.push(ItemChange { key, before, after });
    }

    fn sort(&mut self) {
        self.items.sort_by(|left, right| left.key.cmp(&right.key));
        for list in [&mut self.routes, &mut self.pools, &mut self.tenants] {
            list.sort_by(|left, right| left.name.cmp(&right.name));
        }
    }

    fn tenants(&self) -> impl Iterator<Item = TenantChange<'_>> {
        let changes = self.items.iter().map(|item| TenantChange {
            before: tenant_of(item.before.as_ref()),
            after: tenant_of(item.after.as_ref()),
        });
        changes.filter(|tenant| tenant.before.is_some() || tenant.after.is_some())
    }
}

fn tenant_of(kind: Option<&Kind>) -> Option<&Tenant> {
    match kind {
        Some(Kind::Tenant(tenant)) => Some(tenant),
        _ => None,
    }
}

fn key_set(tenant: Option<&Tenant>) -> BTreeSet<&str> {
    let hashes = tenant.map_or(&[][..], |tenant| &tenant.key_hashes);
    hashes.iter().map(String::as_str).collect()
}

fn named_change(key: &str, before: Option<&Kind>, after: Option<&Kind>) -> NamedChange {
    let name = key.rsplit('/').next().unwrap_or(key).to_owned();
    let (change, fields) = match (before, after) {
        (None, _) => (ChangeKind::Added, Vec::new()),
        (_, None) => (ChangeKind::Removed, Vec::new()),
        (Some(before), Some(after)) => (ChangeKind::Changed, changed_fields(before, after)),
    };
    NamedChange {
        name,
        change,
        fields,
    }
}

fn changed_fields(before: &Kind, after: &Kind) -> Vec<String> {
    let before = fields_by_name(before);
    let after = fields_by_name(after);
    let changed = |field: &&String| before.get(*field) != after.get(*field);
    after.keys().filter(changed).cloned().collect()
}

fn fields_by_name(kind: &Kind) -> BTreeMap<String, Value> {
    match kind {
        Kind::Route(route) => json_fields(route),
        Kind::ForwardRoute(route) => json_fields(route),
        Kind::Pool(pool) => json_fields(pool),
        Kind::Tenant(tenant) => json_fields(tenant),
        _ => BTreeMap::new(),
    }
}

fn json_fields(value: &impl Serialize) -> BTreeMap<String, Value> {
    match serde_json::to_value(value) {
        Ok(Value::Object(fields)) => fields.into_iter().collect(),
        _ => BTreeMap::new(),
    }
}

fn item_bytes(change: &ItemChange) -> u64 {
    let value = change
        .after
        .clone()
        .map(|kind| StateValue { kind: Some(kind) });
    let item = StateItem {
        key: change.key.clone(),
        value,
    };
    item.encoded_len() as u64
}
