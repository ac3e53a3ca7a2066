//! Proxy for the callers: one function a request, from authentication to settlement.

pub mod backend_protocol;
pub mod control;
pub mod daemon;
pub mod limits;
pub mod proxy_metrics;
pub mod proxy_state;
pub mod request;
