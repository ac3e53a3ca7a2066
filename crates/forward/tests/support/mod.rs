//! A forwarding node in this process, in front of stub backends that tests script.

#![allow(
    dead_code,
    reason = "each test binary uses another selection of the fixtures"
)]

pub(crate) mod backend;
pub(crate) mod caller;
pub(crate) mod head;
pub(crate) mod node;
pub(crate) mod tenant;
