//! A forwarding node in this process, in front of stand-ins for backends that tests script.

// Each test binary uses its own part of the support.
#![allow(dead_code)]

pub mod backend;
pub mod caller;
pub mod head;
pub mod node;
