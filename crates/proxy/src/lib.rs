//! Proxy that serves callers: one async function handles a request, from authentication to the
//! resolution of its claim.

pub mod backend_protocol;
pub mod daemon;
pub mod request;
