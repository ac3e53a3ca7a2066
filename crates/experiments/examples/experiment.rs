//! Runs one experiment: `cargo run --release -p millford-experiments --example experiment -- NAME --seeds N`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    millford_experiments::run(&arguments)
}
