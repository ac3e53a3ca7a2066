//! The experiments of the command line, and the code that they share.

pub mod affinity;
pub mod balance;
pub mod bandwidth;
pub mod load_age;
pub mod parallel;
pub mod quota_age;
pub mod retry_storm;
pub mod site;
pub mod summary;
pub mod transition;
