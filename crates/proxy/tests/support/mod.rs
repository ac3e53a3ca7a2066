//! Simulated time, scripted backends and a recording caller for the tests of the request path.
#![allow(dead_code, reason = "each test program uses its own part")]

pub(crate) mod clock;
pub(crate) mod environment;
pub(crate) mod fixture;
pub(crate) mod raw_backend;
pub(crate) mod script;
pub(crate) mod sink;
pub(crate) mod stub_agent;
