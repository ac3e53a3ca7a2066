//! Runs the demonstration with real processes.

use std::path::Path;
use std::process::Command;

/// Builds the other programs of the workspace into the folder of the laboratory's program.
fn build_workspace(laboratory: &Path) {
    let profile_folder = laboratory.parent().expect("a profile folder");
    let target_folder = profile_folder.parent().expect("a target folder");
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--locked", "--workspace", "--bins", "--quiet"]);
    build.env("CARGO_TARGET_DIR", target_folder);
    build.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    if profile_folder.ends_with("release") {
        build.arg("--release");
    }
    assert!(build.status().expect("cargo runs").success());
}

#[test]
fn the_demonstration_passes_all_checks() {
    let laboratory = Path::new(env!("CARGO_BIN_EXE_millford-lab"));
    build_workspace(laboratory);
    let output = Command::new(laboratory)
        .arg("demo")
        .output()
        .expect("the demonstration runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}\n{errors}");
    assert!(text.contains("duplicates          0"), "{text}");
    let recovery = text
        .lines()
        .find(|line| line.starts_with("service returns within 12 s"))
        .expect("a row for the recovery guarantee");
    assert!(!recovery.contains("not tried"), "{text}");
}
