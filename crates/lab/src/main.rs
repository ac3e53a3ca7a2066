//! The `millford-lab` program.

fn main() {}
