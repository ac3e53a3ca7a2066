//! The commands. Each has a module with one function that runs it and the text of its result.

pub mod apply;
pub mod check;
pub mod document_file;
pub mod drain;
pub mod get;
pub mod plan;
pub mod recover;
pub mod status;
