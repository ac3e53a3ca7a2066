//! A program under test.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::mpsc;
use std::time::Duration;

use crate::error::ScaleError;

/// Longest time for a program's ready line.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// A process that is killed when this is dropped.
#[derive(Debug)]
pub struct Child {
    process: std::process::Child,
}

impl Child {
    /// Starts a program with these arguments; its log goes to a file. Waits for the ready line.
    ///
    /// # Errors
    /// Fails when the program does not start or prints no ready line in time.
    pub fn start(
        program: &Path,
        arguments: &[String],
        log_file: &Path,
    ) -> Result<Self, ScaleError> {
        let name = program.display().to_string();
        let log = std::fs::File::create(log_file).map_err(ScaleError::system("make a log file"))?;
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

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Ends the process at once, as a power failure would.
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

/// Waits for the first line; goes on reading so that the program never blocks on its output.
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
    lines.recv_timeout(READY_WITHIN).is_ok()
}
