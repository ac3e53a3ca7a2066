//! The connection to one control node, and which node that is.

pub mod address_book;
pub mod control_link;

pub use address_book::AddressBook;
pub use control_link::{ControlLink, LinkAction};
