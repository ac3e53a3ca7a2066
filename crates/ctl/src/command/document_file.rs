//! Reads and checks a document's file.

use std::path::Path;

use millford_api::config::Document;
use millford_control_state::document;
use millford_core::ResultCode;

use crate::failure::Failure;

/// Reads the file and checks the document.
///
/// # Errors
/// Every fault at once.
pub fn read_document(file: &Path) -> Result<Document, Failure> {
    let text = std::fs::read(file).map_err(|error| {
        let message = format!("{}: {error}", file.display());
        Failure::with_message(ResultCode::BadArgument, message)
    })?;
    let wanted = document::parse(&text).map_err(|faults| Failure::of_faults(&faults))?;
    let faults = document::check(&wanted);
    if faults.is_empty() {
        Ok(wanted)
    } else {
        Err(Failure::of_faults(&faults))
    }
}
