//! The commands: one module and one function each.

pub mod apply;
pub mod check;
pub mod document_file;
pub mod drain;
pub mod get;
pub mod plan;
pub mod recover;
pub mod status;
