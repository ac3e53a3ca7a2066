//! The subcommands of `millford-lab`.

pub mod backend;
pub mod registry;
