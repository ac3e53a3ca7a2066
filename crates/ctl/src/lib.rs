//! Operators' command: apply, get, plan, status, check.
