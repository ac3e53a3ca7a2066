//! The `millford-agent` program.

fn main() {}
