//! `check`: validates a document offline.

use std::path::Path;

use millford_control_state::document;
use serde::Serialize;

use super::document_file::read_document;
use crate::failure::Failure;
use crate::report::Report;

/// Summary of a valid document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CheckReport {
    /// SHA-256 of the document in canonical JSON, in lower-case hexadecimal.
    pub digest: String,
    /// Number of routes.
    pub routes: usize,
    /// Number of pools.
    pub pools: usize,
    /// Number of tenants.
    pub tenants: usize,
}

/// Validates the document in the file.
///
/// # Errors
/// [`ResultCode::DocumentInvalid`](millford_core::ResultCode::DocumentInvalid) with all faults, or
/// [`ResultCode::BadArgument`](millford_core::ResultCode::BadArgument) when the file cannot be read.
pub fn check(file: &Path) -> Result<CheckReport, Failure> {
    let document = read_document(file)?;
    Ok(CheckReport {
        digest: hex::encode(document::digest(&document)),
        routes: document.routes.len(),
        pools: document.pools.len(),
        tenants: document.tenants.len(),
    })
}

impl Report for CheckReport {
    fn text(&self) -> String {
        format!(
            "valid: {} routes, {} pools, {} tenants\ndigest {}\n",
            self.routes, self.pools, self.tenants, self.digest
        )
    }
}
