//! `check`: a document, offline.

use std::path::Path;

use millford_control_state::document;
use serde::Serialize;

use super::document_file::read_document;
use crate::failure::Failure;
use crate::report::Report;

/// What a sound document holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CheckReport {
    /// SHA-256 of its canonical JSON in hexadecimal.
    pub digest: String,
    /// Number of routes.
    pub routes: usize,
    /// Number of pools.
    pub pools: usize,
    /// Number of tenants.
    pub tenants: usize,
}

/// Checks the file.
///
/// # Errors
/// Every fault at once.
pub fn check(file: &Path) -> Result<CheckReport, Failure> {
    let wanted = read_document(file)?;
    Ok(CheckReport {
        digest: hex::encode(document::digest(&wanted)),
        routes: wanted.routes.len(),
        pools: wanted.pools.len(),
        tenants: wanted.tenants.len(),
    })
}

impl Report for CheckReport {
    fn text(&self) -> String {
        format!(
            "sound: {} routes, {} pools, {} tenants\ndigest {}\n",
            self.routes, self.pools, self.tenants, self.digest
        )
    }
}
