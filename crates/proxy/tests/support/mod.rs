//! Simulated time, scripted backends and a recording caller for the tests of the request path.
#![allow(dead_code, reason = "each test program uses its own part")]

pub mod clock;
pub mod environment;
pub mod fixture;
pub mod raw_backend;
pub mod script;
pub mod sink;
pub mod stub_agent;
