//! A disk in memory that loses what was not synced, and helpers for tests of the storage.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod crash_disk;
pub mod file_state;

use millford_api::replication::{LogEntry, log_entry::Payload};

/// An entry with a command.
pub fn command(index: u64, term: u64, bytes: &[u8]) -> LogEntry {
    LogEntry {
        index,
        term,
        payload: Some(Payload::Command(bytes.to_vec())),
    }
}
