//! Reads the processor time and memory use of a process from `/proc`.

use std::time::Duration;

/// Clock ticks per second in `/proc/PID/stat`, the same on every Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Processor time and memory use of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessUsage {
    /// User and system time used so far.
    pub processor: Duration,
    /// Resident memory, in KiB.
    pub resident_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process; `None` if it has ended.
    #[must_use]
    pub fn of(id: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        Some(Self {
            processor: processor_time(&stat)?,
            resident_kib: resident(&status)?,
        })
    }
}

fn processor_time(stat: &str) -> Option<Duration> {
    // The program name, in parentheses, may contain spaces, so fields are counted after it.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    Some(Duration::from_millis(
        (user + system) * 1_000 / TICKS_PER_SECOND,
    ))
}

fn resident(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
