//! Snapshot files: saving, recovery and encoding.

use std::sync::Arc;

use millford_api::replication::{SnapshotChunk, VoterSet};
use prost::Message;

use crate::{Disk, StorageError, checked_file};

/// Prefix of a snapshot's file name; the index follows in twenty digits.
const FILE_PREFIX: &str = "snapshot-";

/// Position and configuration of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Configuration of the group as of that entry.
    pub voters: VoterSet,
}

/// A snapshot of the state machine, with its position and configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Position and configuration.
    pub meta: SnapshotMeta,
    /// The state machine's encoded state, shared with the transfers to other replicas.
    pub data: Arc<[u8]>,
}

/// Writes a snapshot and removes the older ones. Durable on return.
///
/// # Errors
/// Any error of the disk.
pub(crate) fn save(disk: &mut dyn Disk, snapshot: &Snapshot) -> Result<(), StorageError> {
    let name = file_name(snapshot.meta.index);
    checked_file::replace(disk, &name, &encode(snapshot))?;
    remove_before(disk, snapshot.meta.index)
}

/// Reads the newest snapshot, if any, and removes older ones, which a crash between their
/// replacement and removal leaves.
///
/// # Errors
/// [`StorageError::Corrupt`] when the newest snapshot is corrupt; any error of the disk.
pub(crate) fn recover(disk: &mut dyn Disk) -> Result<Option<Snapshot>, StorageError> {
    let names = disk.list()?;
    let newest = names.iter().filter_map(|name| index_of(name)).max();
    let Some(index) = newest else {
        return Ok(None);
    };
    let name = file_name(index);
    let body = checked_file::read(disk, &name)?.unwrap_or_default();
    let snapshot = decode(&name, &body)?;
    remove_before(disk, index)?;
    Ok(Some(snapshot))
}

fn remove_before(disk: &mut dyn Disk, index: u64) -> Result<(), StorageError> {
    for name in disk.list()? {
        if index_of(&name).is_some_and(|other| other < index) {
            disk.remove(&name)?;
        }
    }
    Ok(())
}

fn file_name(index: u64) -> String {
    format!("{FILE_PREFIX}{index:020}")
}

fn index_of(name: &str) -> Option<u64> {
    name.strip_prefix(FILE_PREFIX)?.parse().ok()
}

/// Encodes a snapshot file: one `SnapshotChunk` message with the complete snapshot.
fn encode(snapshot: &Snapshot) -> Vec<u8> {
    let chunk = SnapshotChunk {
        last_index: snapshot.meta.index,
        last_term: snapshot.meta.term,
        voters: Some(snapshot.meta.voters.clone()),
        data: snapshot.data.to_vec(),
        last: true,
        ..SnapshotChunk::default()
    };
    chunk.encode_to_vec()
}

fn decode(name: &str, body: &[u8]) -> Result<Snapshot, StorageError> {
    let Ok(chunk) = SnapshotChunk::decode(body) else {
        return Err(StorageError::corrupt(
            name,
            0,
            "the snapshot cannot be decoded",
        ));
    };
    let meta = SnapshotMeta {
        index: chunk.last_index,
        term: chunk.last_term,
        voters: chunk.voters.unwrap_or_default(),
    };
    let data = Arc::from(chunk.data);
    Ok(Snapshot { meta, data })
}
