//! The operators' configuration document: reading, checking, canonical form, and conversion to the
//! items in which it is stored.

mod canonical;
mod check;
mod fault;
mod items;
pub mod limits;
mod order;
mod parse;

pub use canonical::{canonical_json, digest, normalized};
pub use check::check;
pub use fault::Fault;
pub use items::{document_of, items};
pub use order::{Order, parse_order};
pub use parse::parse;
