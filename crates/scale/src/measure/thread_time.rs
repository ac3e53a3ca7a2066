//! Processor time of this process's threads, selected by name.

use crate::measure::process_sample::cpu_seconds;

/// Total processor time of the threads whose names have a common prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ThreadTime {
    /// Processor time, in seconds, user and system together.
    pub cpu_seconds: f64,
}

impl ThreadTime {
    /// Sums up the threads in `/proc/self/task` whose names start with `prefix`. The kernel truncates names to 15
    /// characters, so a longer prefix matches nothing.
    #[must_use]
    pub fn of_threads(prefix: &str) -> Self {
        let mut total = 0.0;
        let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
            return Self { cpu_seconds: 0.0 };
        };
        for task in tasks.flatten() {
            let name = std::fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            if !name.starts_with(prefix) {
                continue;
            }
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            total += cpu_seconds(&stat).unwrap_or(0.0);
        }
        Self { cpu_seconds: total }
    }
}
