//! Child processes that run the programs under test.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use crate::error::ScaleError;

/// Timeout for a program to print its ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct Child {
    process: std::process::Child,
}

impl Child {
    /// Starts a program, redirects its standard error to `log_file` and waits for its ready line.
    ///
    /// # Errors
    /// Fails when the program does not start or prints no ready line in time.
    pub fn start(
        program: &Path,
        arguments: &[String],
        log_file: &Path,
    ) -> Result<Self, ScaleError> {
        let name = program.display().to_string();
        let log =
            std::fs::File::create(log_file).map_err(ScaleError::system("create a log file"))?;
        let mut process = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(ScaleError::system(format!("start {name}")))?;
        let output = process.stdout.take();
        let child = Self { process };
        let ready = output.is_some_and(wait_for_line);
        if ready {
            return Ok(child);
        }
        let reason = std::fs::read_to_string(log_file).unwrap_or_default();
        Err(ScaleError::Process {
            program: name,
            reason,
        })
    }

    /// Returns the operating system's process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Kills the process without giving it time to shut down, as a power failure would, and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits for the first output line and returns whether it came in time. A thread keeps reading afterwards so
/// that the program never blocks on its output.
fn wait_for_line(output: std::process::ChildStdout) -> bool {
    let (sender, lines) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines() {
            if line.is_err() {
                return;
            }
            let _ = sender.send(());
        }
    });
    lines.recv_timeout(READY_TIMEOUT).is_ok()
}
