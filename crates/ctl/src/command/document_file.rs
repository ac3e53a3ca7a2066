//! Reads a configuration document from a file and validates it.

use std::path::Path;

use millford_api::config::Document;
use millford_control_state::document;
use millford_core::ResultCode;

use crate::failure::Failure;

/// Reads the file and validates the document.
///
/// # Errors
/// [`ResultCode::BadArgument`] when the file cannot be read; otherwise a failure with all faults of the
/// document.
pub fn read_document(file: &Path) -> Result<Document, Failure> {
    let text = std::fs::read(file).map_err(|error| {
        let message = format!("{}: {error}", file.display());
        Failure::with_message(ResultCode::BadArgument, message)
    })?;
    let document = document::parse(&text).map_err(|faults| Failure::from_faults(&faults))?;
    let faults = document::check(&document);
    if faults.is_empty() {
        Ok(document)
    } else {
        Err(Failure::from_faults(&faults))
    }
}
