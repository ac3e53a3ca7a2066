//! JSON forms of protocol types where the generated form would not do: documents, and fields stored as numbers or bytes.

pub mod backend_state;
pub mod document;
pub mod hexadecimal;
pub mod replica_state;
pub mod resume;
