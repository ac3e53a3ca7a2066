//! Checks that the commands, flags, environment variables and exit statuses of `millfordctl`, which scripts rely
//! on, are still those of commit b3d3e00.

#[path = "../../api/tests/support/committed.rs"]
mod committed;
#[path = "../../settings/tests/support/daemon_flags.rs"]
mod daemon_flags;

use std::fmt::Write;
use std::process::Command;

use committed::assert_committed;
use millford_core::ResultCode;
use millford_ctl::exit_status::ExitStatus;

const DATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/outside");
const PROGRAM: &str = env!("CARGO_BIN_EXE_millfordctl");

fn help() -> String {
    let output = Command::new(PROGRAM).arg("--help").output();
    let output = output.expect("the program runs");
    assert_eq!(output.status.code(), Some(0));
    String::from_utf8(output.stdout).expect("text")
}

/// Compares the first column of the help's tables. The descriptions in the second column may change.
#[test]
fn commands_and_flags_are_the_committed_ones() {
    let help = help();
    let rows = help.lines().filter(|line| line.starts_with("    "));
    let columns = rows.filter_map(|line| line.trim_end().strip_prefix("    "));
    // Continuation lines of a description are indented further.
    let columns = columns.filter(|line| !line.starts_with("      "));
    let lines = columns.map(|line| format!("{}\n", daemon_flags::column(line)));
    assert_committed(&format!("{DATA}/help.txt"), &lines.collect::<String>());
}

#[test]
fn environment_variables_are_the_committed_ones() {
    let help = help();
    let words = help.split(|character: char| !character.is_ascii_uppercase() && character != '_');
    let mut names: Vec<&str> = words.filter(|word| word.starts_with("MILLFORD_")).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names, ["MILLFORD_CONTROL", "MILLFORD_OPERATOR_KEY"]);
}

#[test]
fn exit_statuses_are_the_committed_ones() {
    let mut lines = String::new();
    for code in ResultCode::ALL {
        let status = ExitStatus::of(*code).number();
        writeln!(lines, "{} {status}", code.number()).expect("a string grows");
    }
    assert_committed(&format!("{DATA}/exit_statuses.txt"), &lines);
}
