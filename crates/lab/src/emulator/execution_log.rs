//! Log of the executions on one backend, kept in memory and appended to a file that the checks can read
//! after the process was killed.

use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

use super::execution::{Execution, ExecutionEnd};
use crate::protocol::machine_micros;

/// Index of an execution in its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExecutionIndex(usize);

/// Log of the executions since the backend's process started.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    executions: Vec<Execution>,
    file: Option<File>,
}

impl ExecutionLog {
    /// Creates an empty log that also appends to the file at `path`.
    ///
    /// # Errors
    /// The file cannot be opened.
    pub fn with_file(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            executions: Vec::new(),
            file: Some(file),
        })
    }

    /// Records the start of an execution; must be called before any work on it.
    pub fn start(&mut self, execution: Execution) -> ExecutionIndex {
        self.append(&execution);
        self.executions.push(execution);
        ExecutionIndex(self.executions.len() - 1)
    }

    /// Records the end of an execution.
    pub fn end(&mut self, index: ExecutionIndex, end: ExecutionEnd) {
        let Some(execution) = self.executions.get_mut(index.0) else {
            return;
        };
        execution.ended_micros = Some(machine_micros());
        execution.end = Some(end);
        let ended = execution.clone();
        self.append(&ended);
    }

    /// Returns the executions in the order of their starts.
    #[must_use]
    pub fn executions(&self) -> &[Execution] {
        &self.executions
    }

    fn append(&mut self, execution: &Execution) {
        let Some(file) = &mut self.file else {
            return;
        };
        let Ok(mut line) = serde_json::to_vec(execution) else {
            return;
        };
        line.push(b'\n');
        // One write call per line: after a kill at most the last line is incomplete.
        if let Err(error) = file.write_all(&line) {
            eprintln!("cannot append to the execution log: {error}");
        }
    }
}

/// Reads a log file. The line for the end of an execution replaces that for its start; lines that cannot be
/// parsed are skipped.
///
/// # Errors
/// The file cannot be read. A missing file is an empty log.
pub fn read_execution_log(path: &Path) -> io::Result<Vec<Execution>> {
    let mut executions: Vec<Execution> = Vec::new();
    let file = match File::open(path) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(executions),
        Err(error) => return Err(error),
    };
    for line in BufReader::new(file).lines() {
        let Ok(execution) = serde_json::from_str::<Execution>(&line?) else {
            continue;
        };
        let started = executions.iter_mut().rev().find(|earlier| {
            earlier.attempt == execution.attempt
                && earlier.started_micros == execution.started_micros
        });
        match started {
            Some(earlier) => *earlier = execution,
            None => executions.push(execution),
        }
    }
    Ok(executions)
}
