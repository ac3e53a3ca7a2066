//! JSON forms of fields that the protocol types store as numbers or bytes.

pub mod backend_state;
pub mod hexadecimal;
pub mod replica_state;
pub mod resume;
