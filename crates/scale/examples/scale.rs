//! `millford-lab scale` by itself, for work on the rig without building the whole laboratory.

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    millford_scale::run(&arguments)
}
