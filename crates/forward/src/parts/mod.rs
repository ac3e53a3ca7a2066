//! Where prompt parts were read, kept at each part's owners and asked for before each choice.

pub mod shared_parts;

pub use shared_parts::BackendsByBlock;
