//! Differences between two documents, item by item.

use std::collections::{BTreeMap, BTreeSet};

use millford_api::config::{Document, Tenant};
use millford_api::operator::{ChangeKind, KeyMove, NamedChange, QuotaMove};
use millford_api::state::{StateItem, StateValue, state_value::Kind};
use prost::Message;
use serde::Serialize;
use serde_json::Value;

use crate::document;

/// Digits of a key's hash that a plan shows: enough to tell keys apart, too few to search by.
const DISPLAYED_HASH_DIGITS: usize = 8;

/// One item before and after.
struct ItemChange {
    key: String,
    before: Option<Kind>,
    after: Option<Kind>,
}

/// Everything that differs between two documents.
pub(super) struct DocumentChanges {
    pub(super) routes: Vec<NamedChange>,
    pub(super) pools: Vec<NamedChange>,
    pub(super) tenants: Vec<NamedChange>,
    items: Vec<ItemChange>,
}

impl DocumentChanges {
    /// Compares the items that the documents are kept as.
    pub(super) fn between(before: &Document, after: &Document) -> Self {
        let mut changes = Self {
            routes: Vec::new(),
            pools: Vec::new(),
            tenants: Vec::new(),
            items: Vec::new(),
        };
        let mut old = document::items(before);
        for (key, desired) in document::items(after) {
            let present = old.remove(&key);
            if present.as_ref() != Some(&desired) {
                changes.record(key, present, Some(desired));
            }
        }
        for (key, removed) in old {
            changes.record(key, Some(removed), None);
        }
        changes.sort();
        changes
    }

    /// Keys that become valid or are revoked.
    pub(super) fn keys(&self) -> Vec<KeyMove> {
        let mut moves = Vec::new();
        for (before, after) in self.tenants() {
            let old = key_set(before);
            let new = key_set(after);
            let name = before.or(after).map_or("", |tenant| &tenant.name);
            let removed = old.difference(&new).map(|hash| (hash, ChangeKind::Removed));
            let added = new.difference(&old).map(|hash| (hash, ChangeKind::Added));
            for (hash, change) in removed.chain(added) {
                moves.push(KeyMove {
                    tenant: name.to_owned(),
                    key_hash_prefix: hash.chars().take(DISPLAYED_HASH_DIGITS).collect(),
                    change,
                });
            }
        }
        moves
    }

    /// Quotas that change, new and removed tenants included.
    pub(super) fn quotas(&self) -> Vec<QuotaMove> {
        let mut moves = Vec::new();
        for (before, after) in self.tenants() {
            let old = before.and_then(|tenant| tenant.quota);
            let new = after.and_then(|tenant| tenant.quota);
            if old != new {
                let name = before.or(after).map_or("", |tenant| &tenant.name);
                moves.push(QuotaMove {
                    tenant: name.to_owned(),
                    before: old,
                    after: new,
                });
            }
        }
        moves
    }

    /// Items that the change sends to every node.
    pub(super) fn item_count(&self) -> u64 {
        self.items.len() as u64
    }

    /// Their size in bytes.
    pub(super) fn item_bytes(&self) -> u64 {
        self.items.iter().map(item_bytes).sum()
    }

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

    fn tenants(&self) -> impl Iterator<Item = (Option<&Tenant>, Option<&Tenant>)> {
        let pairs = self.items.iter().map(|item| {
            (
                tenant_of(item.before.as_ref()),
                tenant_of(item.after.as_ref()),
            )
        });
        pairs.filter(|(before, after)| before.is_some() || after.is_some())
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
    let before = fields_of(before);
    let after = fields_of(after);
    let changed = |field: &&String| before.get(*field) != after.get(*field);
    after.keys().filter(changed).cloned().collect()
}

fn fields_of(kind: &Kind) -> BTreeMap<String, Value> {
    match kind {
        Kind::Route(route) => object(route),
        Kind::ForwardRoute(route) => object(route),
        Kind::Pool(pool) => object(pool),
        Kind::Tenant(tenant) => object(tenant),
        _ => BTreeMap::new(),
    }
}

fn object(value: &impl Serialize) -> BTreeMap<String, Value> {
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
