//! The `millfordctl` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    millford_ctl::run::run(&arguments)
}
