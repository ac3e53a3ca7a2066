//! The operators' document: reading, checking, canonical form and the items it is kept as.

mod canonical;
mod check;
mod check_forward;
mod check_pool;
mod check_route;
mod check_tenant;
mod fault;
mod fault_list;
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
