//! The `millford-control` program.

fn main() {}
