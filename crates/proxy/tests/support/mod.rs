//! Simulated time, scripted backends and a recording caller, for tests of the request path.
#![allow(dead_code, reason = "each test program uses only a part of the module")]

pub(crate) mod clock;
pub(crate) mod environment;
pub(crate) mod fixture;
pub(crate) mod raw_backend;
pub(crate) mod script;
pub(crate) mod sink;
pub(crate) mod stub_agent;
