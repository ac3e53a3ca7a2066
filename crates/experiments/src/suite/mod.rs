//! The experiments.

pub mod balance;
pub mod parallel;
pub mod site;
pub mod summary;
