//! The subcommands of `millford-lab`.

pub mod backend;
pub mod explain;
pub mod registry;
