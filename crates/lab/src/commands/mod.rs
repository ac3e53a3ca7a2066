//! The subcommands of `millford-lab`.

pub mod backend;
pub mod days;
pub mod explain;
pub mod loss_chart;
pub mod registry;
