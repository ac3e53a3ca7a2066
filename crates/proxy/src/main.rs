//! The `millford-proxy` program.

fn main() {}
