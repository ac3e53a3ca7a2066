//! Settings files and flags, structured logs and metrics of the daemons.
