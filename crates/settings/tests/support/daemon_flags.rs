//! Compatibility checks of a daemon's command line, settings file and exit statuses, shared by the
//! daemons' tests.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::net::TcpListener;
use std::process::{Command, Output};

use super::committed::assert_committed;

/// Exit status of a daemon whose command line or settings are invalid.
const SETTINGS_FAULT: i32 = 2;

/// A daemon and the location of its reference files.
pub(crate) struct DaemonUnderTest<'a> {
    /// Path of the executable.
    pub(crate) program: &'a str,
    /// Folder with `flags.txt` and `settings.toml`, both as of commit b3d3e00.
    pub(crate) data: &'a str,
    /// Flag that sets the address which the daemon binds first, with the leading dashes.
    pub(crate) address_flag: &'a str,
    /// Exit status when that address is in use.
    pub(crate) address_taken_status: i32,
}

impl DaemonUnderTest<'_> {
    fn run(&self, arguments: &[&str]) -> Output {
        let output = Command::new(self.program).args(arguments).output();
        output.expect("the program runs")
    }

    fn settings_file(&self) -> String {
        format!("{}/settings.toml", self.data)
    }

    /// Asserts that the flags and the kinds of their values are unchanged. Their descriptions may
    /// change.
    #[track_caller]
    pub(crate) fn assert_flags(&self) {
        let output = self.run(&["--help"]);
        assert_eq!(output.status.code(), Some(0));
        let help = String::from_utf8(output.stdout).expect("text");
        assert_committed(&format!("{}/flags.txt", self.data), &flags(&help));
    }

    /// Asserts that the settings file, which contains all keys, is valid, and that there is a flag
    /// for each of its keys and no other.
    #[track_caller]
    pub(crate) fn assert_keys(&self) {
        let output = self.run(&["--settings", &self.settings_file(), "--check"]);
        let output_text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(0), "{output_text}");
        let text = std::fs::read_to_string(self.settings_file()).expect("the settings file");
        let mut keys: Vec<String> = text
            .lines()
            .filter_map(|line| line.split_once(" = "))
            .map(|(key, _)| format!("--{}", key.replace('_', "-")))
            .collect();
        keys.sort();
        let list = std::fs::read_to_string(format!("{}/flags.txt", self.data)).expect("the list");
        let common = ["--settings", "--check", "--help", "--version"];
        let mut named: Vec<String> = list
            .split_whitespace()
            .filter(|word| word.starts_with("--") && !common.contains(word))
            .map(str::to_owned)
            .collect();
        named.sort();
        assert_eq!(keys, named);
    }

    /// Asserts the exit status and the result code for invalid settings and for an address in use.
    #[track_caller]
    pub(crate) fn assert_exit_statuses(&self) {
        let settings = self.settings_file();
        let cases: [&[&str]; 4] = [
            &["--no-such-flag"],
            &["free argument"],
            &["--settings", "/nonexistent/settings.toml"],
            &["--settings", &settings, "--log-level", "loud"],
        ];
        for arguments in cases {
            let output = self.run(arguments);
            assert_eq!(output.status.code(), Some(SETTINGS_FAULT), "{arguments:?}");
            let output_text = String::from_utf8_lossy(&output.stderr);
            assert!(output_text.contains("7001"), "{arguments:?}: {output_text}");
        }
        let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = taken.local_addr().expect("an address").to_string();
        let output = self.run(&["--settings", &settings, self.address_flag, &address]);
        let output_text = String::from_utf8_lossy(&output.stderr);
        assert_eq!(
            output.status.code(),
            Some(self.address_taken_status),
            "{output_text}"
        );
        assert!(output_text.contains("7002"), "{output_text}");
    }
}

/// Returns the options of a usage text, one per line, without their descriptions.
pub(crate) fn flags(help: &str) -> String {
    let options = help
        .lines()
        .filter(|line| line.trim_start().starts_with('-'));
    options.fold(String::new(), |lines, line| lines + &column(line) + "\n")
}

/// Returns the first word of a line and the words after it that are flags or names of values, which
/// are in capitals.
pub(crate) fn column(line: &str) -> String {
    let is_value = |word: &str| {
        let mut letters = word.chars();
        word == "true|false" || letters.all(|letter| letter.is_ascii_uppercase() || letter == ',')
    };
    let mut words = line.split_whitespace();
    let first = words.next().unwrap_or_default().to_owned();
    let others = words.take_while(|word| word.starts_with('-') || is_value(word));
    others.fold(first, |column, word| format!("{column} {word}"))
}

/// Returns the name and type of each metric, and the name and label names of each sample, in a text
/// in the Prometheus format. Sorted and without duplicates.
#[allow(
    dead_code,
    reason = "the tests of the proxies list the metrics by their descriptions instead"
)]
pub(crate) fn metrics(text: &str) -> String {
    let mut lines = Vec::new();
    for line in text.lines() {
        if let Some(typed) = line.strip_prefix("# TYPE ") {
            lines.push(format!("{typed}\n"));
        } else if !line.starts_with('#') {
            let name = line.rsplit_once(' ').map_or(line, |(name, _)| name);
            let (name, labels) = name.split_once('{').unwrap_or((name, ""));
            let labels = labels.trim_end_matches('}').split(',');
            let labels: Vec<&str> = labels
                .filter_map(|label| label.split_once('='))
                .map(|(name, _)| name)
                .collect();
            lines.push(format!("{name} {{{}}}\n", labels.join(",")));
        }
    }
    lines.sort();
    lines.dedup();
    lines.concat()
}
