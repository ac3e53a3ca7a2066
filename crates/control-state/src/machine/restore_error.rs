//! Errors of restoring a snapshot.

use std::array::TryFromSliceError;

use thiserror::Error;

/// Reason why bytes could not be restored as a snapshot of a [`ShardMachine`](super::ShardMachine).
#[derive(Debug, Error)]
pub enum RestoreError {
    /// The bytes are not a valid encoding of a snapshot message.
    #[error("cannot decode the snapshot: {0}")]
    Undecodable(#[from] prost::DecodeError),
    /// A hash in a claim record has the wrong length.
    #[error("the snapshot contains a claim with a hash of the wrong length: {0}")]
    MalformedClaim(#[from] TryFromSliceError),
    /// An item of the public state has no value.
    #[error("the snapshot contains the item {key} without a value")]
    ItemWithoutValue {
        /// Key of the item in the public state.
        key: String,
    },
}
