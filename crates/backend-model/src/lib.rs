//! Cost model of an emulated backend: prefill, prefix cache, decode, memory bandwidth.
