//! Proxy for the callers: one function a request, from authentication to settlement.
