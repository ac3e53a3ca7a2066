//! Runs `millford-lab scale` on its own, so that the test harness can be developed without building all of
//! `millford-lab`.

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    millford_scale::run(&arguments)
}
