//! Parsing and checking of settings files and flags.

use millford_settings::fault::{require_addresses, require_texts};
use millford_settings::{DaemonCommand, Invocation, Settings, SettingsFault, SettingsKey};
use serde::Deserialize;

const COMMAND: DaemonCommand = DaemonCommand {
    program: "example",
    purpose: "An example.",
    version: "1.2.3",
};

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct ExampleSettings {
    zone: String,
    address: String,
    seeds: Vec<String>,
    limit: u32,
}

impl Settings for ExampleSettings {
    const KEYS: &'static [SettingsKey] = &[
        SettingsKey::text("zone", "zone of this machine"),
        SettingsKey::text("address", "address to listen on"),
        SettingsKey::list("seeds", "seed addresses"),
        SettingsKey::number("limit", "a limit"),
    ];

    fn faults(&self) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        require_texts(&mut faults, &[("zone", &self.zone)]);
        require_addresses(&mut faults, &[("address", &self.address)]);
        faults
    }
}

fn parse(arguments: &[&str]) -> Result<Invocation<ExampleSettings>, String> {
    let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
    COMMAND.parse(&arguments).map_err(|error| error.to_string())
}

fn file_with(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("temporary file");
    std::fs::write(file.path(), text).expect("write settings");
    file
}

#[test]
fn flags_override_the_file() {
    let file = file_with("zone = \"a\"\naddress = \"127.0.0.1:1\"\nlimit = 3\n");
    let path = file.path().to_str().expect("path");
    let parsed = parse(&["--settings", path, "--zone", "b", "--seeds", "x,y"]);
    let Ok(Invocation::Run(settings)) = parsed else {
        panic!("settings expected, got {parsed:?}");
    };
    assert_eq!(settings.zone, "b");
    assert_eq!(settings.limit, 3);
    assert_eq!(settings.seeds, ["x", "y"]);
}

#[test]
fn an_unknown_key_is_rejected_with_file_and_line() {
    let file = file_with("zone = \"a\"\nadress = \"127.0.0.1:1\"\n");
    let path = file.path().to_str().expect("path");
    let error = parse(&["--settings", path]).expect_err("unknown key");
    assert!(error.starts_with(&format!("{path}:2: ")), "{error}");
    assert!(error.contains("adress"), "{error}");
}

#[test]
fn a_wrong_type_is_rejected_with_file_and_line() {
    let file = file_with("\n\nlimit = \"many\"\n");
    let path = file.path().to_str().expect("path");
    let error = parse(&["--settings", path]).expect_err("wrong type");
    assert!(error.starts_with(&format!("{path}:3: ")), "{error}");
}

#[test]
fn all_faults_are_listed_at_once_with_their_lines() {
    let file = file_with("limit = 1\naddress = \"nowhere\"\n");
    let path = file.path().to_str().expect("path");
    let error = parse(&["--settings", path]).expect_err("faults");
    assert!(error.contains("zone: A value is required."), "{error}");
    assert!(error.contains(&format!("{path}:2: address")), "{error}");
}

#[test]
fn invalid_command_lines_are_rejected() {
    for arguments in [
        vec!["--limit", "many"],
        vec!["--limit", "-1", "--zone", "a", "--address", "127.0.0.1:1"],
        vec!["--nothing", "1"],
        vec!["stray"],
        vec!["--settings", "/nonexistent/settings.toml"],
        vec!["--settings"],
    ] {
        assert!(parse(&arguments).is_err(), "{arguments:?} was accepted");
    }
}

#[test]
fn help_version_and_check_print_without_running() {
    let valid = ["--zone", "a", "--address", "127.0.0.1:1"];
    for (flag, expected) in [
        ("--help", "--seeds"),
        ("--version", "example 1.2.3"),
        ("--check", "valid"),
    ] {
        let mut arguments = valid.to_vec();
        arguments.push(flag);
        match parse(&arguments) {
            Ok(Invocation::Print(text)) => assert!(text.contains(expected), "{text}"),
            other => panic!("{flag}: {other:?}"),
        }
    }
}
