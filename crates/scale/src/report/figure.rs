//! The figures of a run that are fitted and plotted.

use crate::size::FleetSize;
use crate::size_result::SizeResult;

/// A figure of a run and its limit.
#[derive(Clone, Copy, Debug)]
pub struct Figure {
    /// Name with unit, as in the reports.
    pub name: &'static str,
    /// Extracts the figure from a result; `None` when it was not measured.
    pub value: fn(&SizeResult) -> Option<f64>,
    /// Largest acceptable value, in the unit of the name; `None` without a limit.
    pub limit: Option<f64>,
}

const KIBIBYTE: f64 = 1024.0;
const MEBIBYTE: f64 = 1024.0 * 1024.0;

impl Figure {
    /// All figures, in the order of the report.
    pub const ALL: [Figure; 11] = [
        Figure {
            name: "node: KB/s, both ways",
            value: |result| Some((result.node_bytes_in + result.node_bytes_out) / KIBIBYTE),
            limit: Some(8.0),
        },
        Figure {
            name: "node: KB/s from control",
            value: |result| Some(result.node_bytes_in / KIBIBYTE),
            limit: None,
        },
        Figure {
            name: "node: % of a core",
            value: |result| Some(result.node_cpu_percent),
            limit: Some(3.6),
        },
        Figure {
            name: "node: MB, hollow",
            value: |result| Some(result.node_memory_bytes / MEBIBYTE),
            limit: Some(64.0),
        },
        Figure {
            name: "node: MB, real agent process",
            value: |result| Some(result.real_agent_memory_bytes / MEBIBYTE),
            limit: Some(64.0),
        },
        Figure {
            name: "node: KB to start",
            value: |result| Some(result.boot_bytes_per_node / KIBIBYTE),
            limit: None,
        },
        Figure {
            name: "control: % of a core, all three",
            value: |result| Some(result.control_cpu_percent),
            limit: None,
        },
        Figure {
            name: "control: MB, largest",
            value: |result| Some(result.control_memory_bytes / MEBIBYTE),
            limit: None,
        },
        Figure {
            name: "control: KB/s of log, all three",
            value: |result| Some(result.control_log_bytes / KIBIBYTE),
            limit: None,
        },
        Figure {
            name: "change everywhere: ms, largest",
            value: |result| Some(result.change_everywhere_ms.max),
            limit: Some(4_000.0),
        },
        Figure {
            name: "return after full restart: s",
            value: |result| result.return_seconds,
            limit: Some(12.0),
        },
    ];

    /// Returns the figure for each size at which it was measured.
    #[must_use]
    pub fn points(&self, results: &[SizeResult]) -> Vec<(FleetSize, f64)> {
        let points = results.iter();
        points
            .filter_map(|result| Some((result.size?, (self.value)(result)?)))
            .collect()
    }
}
