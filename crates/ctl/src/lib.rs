//! `millfordctl`, the operators' command-line tool: apply, get, plan, status, check, drain, recover.

pub mod client;
pub mod command;
pub mod command_line;
pub mod exit_status;
pub mod failure;
pub mod invocation;
pub mod operator_key;
pub mod report;
pub mod run;
