//! Result codes of storage errors.

use millford_core::ResultCode;
use millford_storage::StorageError;

/// The result code with which a storage error is reported.
#[must_use]
pub fn storage_code(error: &StorageError) -> ResultCode {
    match error {
        StorageError::Io { .. } | StorageError::Failed => ResultCode::DiskFailed,
        StorageError::Full { .. } => ResultCode::DiskFull,
        StorageError::Corrupt { .. } => ResultCode::LogCorrupt,
    }
}
