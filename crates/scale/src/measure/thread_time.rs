//! Processor time of this process's threads by name.

use crate::measure::process_sample::cpu_seconds;

/// Sum over the threads whose names begin alike.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ThreadTime {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
}

impl ThreadTime {
    /// Reads `/proc/self/task`. Names are cut at 15 characters by the kernel.
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
