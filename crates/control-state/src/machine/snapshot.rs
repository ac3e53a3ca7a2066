//! Snapshots of the machine. Equal states have identical snapshots.

use std::collections::BTreeMap;

use millford_api::command::MachineSnapshot;
use millford_api::state::{StateItem, StateValue};
use prost::Message;

use super::claim_table::ClaimTable;
use super::order_history::OrderHistory;
use super::restore_error::RestoreError;
use super::shard_machine::ShardMachine;

impl ShardMachine {
    /// Encodes the complete state. All collections are ordered, so replicas with the same state
    /// produce the same bytes.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let snapshot = MachineSnapshot {
            applied_index: self.applied_index,
            applied_term: self.applied_term,
            public_state: self.public.items().iter().map(item).collect(),
            orders: self.orders.orders().cloned().collect(),
            claims: self.claims.records(),
            sessions: self.sessions.sessions().values().cloned().collect(),
            shard_time_ms: self.shard_time_ms,
            next_epoch: self.sessions.last_epoch() + 1,
            drain_orders: self.catalogue.drain_orders().cloned().collect(),
            config_source: self.config_source.clone(),
        };
        snapshot.encode_to_vec()
    }

    /// Replaces the complete state with that of a snapshot. On an error the state is unchanged.
    ///
    /// # Errors
    /// [`RestoreError`] when the bytes are not a snapshot.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), RestoreError> {
        let snapshot = MachineSnapshot::decode(data)?;
        let items = decode_items(snapshot.public_state)?;
        let claims = ClaimTable::from_records(&snapshot.claims)?;
        self.applied_index = snapshot.applied_index;
        self.applied_term = snapshot.applied_term;
        self.shard_time_ms = snapshot.shard_time_ms;
        self.public.replace(items);
        self.orders = OrderHistory::from_iter(snapshot.orders);
        self.claims = claims;
        let last_epoch = snapshot.next_epoch.saturating_sub(1);
        self.sessions.replace(snapshot.sessions, last_epoch);
        self.catalogue.replace(snapshot.drain_orders);
        self.config_source = snapshot.config_source;
        Ok(())
    }
}

fn item((key, value): (&String, &StateValue)) -> StateItem {
    StateItem {
        key: key.clone(),
        value: Some(value.clone()),
    }
}

fn decode_items(items: Vec<StateItem>) -> Result<BTreeMap<String, StateValue>, RestoreError> {
    items
        .into_iter()
        .map(|item| match item.value {
            Some(value) => Ok((item.key, value)),
            None => Err(RestoreError::ItemWithoutValue { key: item.key }),
        })
        .collect()
}
