//! The report as text.

use std::fmt::Write;

use crate::fit::Slope;
use crate::report::Report;
use crate::size_result::SizeResult;

const KIBIBYTE: f64 = 1024.0;
const MEBIBYTE: f64 = 1024.0 * 1024.0;

/// Formats the measurements of one size, one line per group.
#[must_use]
pub fn size_lines(result: &SizeResult) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_size(&mut text, result);
    text
}

fn write_size(text: &mut String, result: &SizeResult) -> std::fmt::Result {
    if let Some(size) = result.size {
        writeln!(text, "{size}:")?;
    }
    writeln!(
        text,
        "  node: {:.2} KB/s in, {:.2} KB/s out, {:.0} frames/s, {:.2}% of a core, {:.1} MB",
        result.node_bytes_in / KIBIBYTE,
        result.node_bytes_out / KIBIBYTE,
        result.node_frames,
        result.node_cpu_percent,
        result.node_memory_bytes / MEBIBYTE,
    )?;
    let mut kinds: Vec<_> = result.node_bytes_by_kind.iter().collect();
    kinds.sort_by(|left, right| right.1.total_cmp(left.1));
    let kinds = kinds.into_iter().filter(|(_, rate)| **rate >= 1.0);
    let kinds: Vec<String> = kinds
        .map(|(kind, rate)| format!("{kind} {:.2}", rate / KIBIBYTE))
        .collect();
    writeln!(text, "  KB/s by kind: {}", kinds.join(", "))?;
    writeln!(
        text,
        "  real agent process: {:.2}% of a core, {:.1} MB",
        result.real_agent_cpu_percent,
        result.real_agent_memory_bytes / MEBIBYTE,
    )?;
    writeln!(
        text,
        "  control: {:.0}% of a core over three, busiest {:.0}%, {:.0} MB largest (peak {:.0}), \
         {:.1} MB on disk, {:.0} KB/s of log",
        result.control_cpu_percent,
        result.control_busiest_cpu_percent,
        result.control_memory_bytes / MEBIBYTE,
        result.control_peak_bytes / MEBIBYTE,
        result.control_data_bytes / MEBIBYTE,
        result.control_log_bytes / KIBIBYTE,
    )?;
    writeln!(
        text,
        "  start: {:.1} s, {:.0} KB a node",
        result.boot_seconds,
        result.boot_bytes_per_node / KIBIBYTE,
    )?;
    writeln!(
        text,
        "  change to a node: p50 {:.0} ms, p99 {:.0} ms; everywhere: p50 {:.0} ms, largest {:.0} ms \
         ({} changes)",
        result.change_ms.p50,
        result.change_ms.p99,
        result.change_everywhere_ms.p50,
        result.change_everywhere_ms.max,
        result.change_everywhere_ms.count,
    )?;
    writeln!(
        text,
        "  quota: {} granted, {} refused, reply p50 {:.1} ms, p99 {:.1} ms; claims: {} ({} not granted)",
        result.quota_granted,
        result.quota_refused,
        result.quota_ms.p50,
        result.quota_ms.p99,
        result.claims,
        result.claims_failed,
    )?;
    if let Some(seconds) = result.return_seconds {
        writeln!(
            text,
            "  every node reconnected after a full restart: {seconds:.1} s"
        )?;
    }
    write!(
        text,
        "  switches to another control node: {}; load average of the machine: {:.1}",
        result.fail_overs, result.machine_load,
    )
}

/// Formats the measurements of all sizes, the failures and a table of the fits.
#[must_use]
pub fn summary(report: &Report) -> String {
    let mut text = String::new();
    for size in &report.sizes {
        text.push_str(&size_lines(size));
        text.push('\n');
    }
    for failure in &report.failures {
        let _ = writeln!(text, "FAILED {failure}");
    }
    if report.fits.is_empty() {
        return text;
    }
    let _ = writeln!(
        text,
        "\nLeast squares over {} sizes; ± is the standard error.\n{:32} {:>20} {:>20} {:>20} {:>20} {:>10} {:>8}",
        report.sizes.len(),
        "figure",
        "constant",
        "a node",
        "1000 tenants",
        "100 backends",
        "planned",
        "limit",
    );
    for fitted in &report.fits {
        let limit = fitted
            .limit
            .map_or(String::new(), |limit| limit.to_string());
        let _ = writeln!(
            text,
            "{:32} {:>20} {:>20} {:>20} {:>20} {:>10.2} {:>8}",
            fitted.name,
            slope_text(fitted.fit.constant, 1.0),
            slope_text(fitted.fit.node, 1.0),
            slope_text(fitted.fit.tenant, 1_000.0),
            slope_text(fitted.fit.backend, 100.0),
            fitted.planned,
            limit,
        );
    }
    text
}

fn slope_text(slope: Slope, unit: f64) -> String {
    format!(
        "{:.4} ±{:.4}",
        slope.value * unit,
        slope.standard_error * unit
    )
}
