//! The scenario runner as a stand-alone program.

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    millford_simulation::run(&arguments)
}
