//! Fixtures: forwarding nodes that run in the test process, stub backends with scripted responses, and a caller.

#![allow(dead_code, reason = "each test binary uses only some of the fixtures")]

pub(crate) mod backend;
pub(crate) mod caller;
pub(crate) mod head;
pub(crate) mod node;
pub(crate) mod tenant;
