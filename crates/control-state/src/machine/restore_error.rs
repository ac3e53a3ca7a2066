//! Why a snapshot could not be restored.

use std::array::TryFromSliceError;

use thiserror::Error;

/// The bytes are not a snapshot of a [`ShardMachine`](super::ShardMachine).
#[derive(Debug, Error)]
pub enum RestoreError {
    /// The bytes cannot be decoded.
    #[error("the snapshot cannot be decoded: {0}")]
    Undecodable(#[from] prost::DecodeError),
    /// A claim's hash has the wrong length.
    #[error("the snapshot has a malformed claim: {0}")]
    MalformedClaim(#[from] TryFromSliceError),
    /// An item of the public state has no value.
    #[error("the snapshot's item {key} has no value")]
    ItemWithoutValue {
        /// Key of the item.
        key: String,
    },
}
