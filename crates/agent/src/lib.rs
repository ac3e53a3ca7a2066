//! Agent beside each proxy: one session and one feed with the control plane.
