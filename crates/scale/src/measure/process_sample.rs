//! Processor time and memory of a process, read from `/proc`.

use serde::Serialize;

/// Clock ticks per second in `/proc` (`USER_HZ`), a constant of the Linux user-space interface.
pub const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time and memory of one process at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ProcessSample {
    /// Processor time since the process started, in seconds, user and system together.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory so far, in bytes.
    pub peak_bytes: u64,
}

impl ProcessSample {
    /// Reads the sample of a process; `None` when it has exited.
    #[must_use]
    pub fn of_process(id: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        Some(Self {
            cpu_seconds: cpu_seconds(&stat)?,
            resident_bytes: kibibytes(&status, "VmRSS:")? * 1024,
            peak_bytes: kibibytes(&status, "VmHWM:")? * 1024,
        })
    }

    /// Reads the sample of the calling process.
    #[must_use]
    pub fn of_self() -> Option<Self> {
        Self::of_process(std::process::id())
    }
}

/// Parses the sum of user and system time from a `stat` line. Fields are counted after the last closing
/// bracket, since the program name in brackets may contain spaces.
pub(crate) fn cpu_seconds(stat: &str) -> Option<f64> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

fn kibibytes(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with(name))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
