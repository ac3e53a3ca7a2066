//! The `millfordctl` program.

fn main() {}
