//! Runs the requested fleet sizes in sequence and writes the report.

use std::path::Path;

use millford_settings::{LogFormat, LogOptions, logging};
use tokio::runtime::{Builder, Runtime};

use crate::error::ScaleError;
use crate::hollow::hollow_node::HarnessRuntimes;
use crate::options::ScaleOptions;
use crate::report::{Report, plot, text, write_files};
use crate::run_size::{self, AGENT_THREADS};
use crate::size::FleetSize;
use crate::size_result::SizeResult;

/// Worker threads of each of the two runtimes: one for the simulated agents, one for the rest of the test
/// harness.
const THREADS: usize = 3;

/// Timeout of one size, including starting and stopping the processes.
const SIZE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(75);

/// Runs every size of the options, prints the results and writes the report.
///
/// # Errors
/// Fails when a size could not be measured or the report cannot be written. A failed size stops neither the
/// other sizes nor the report.
pub fn run(options: &ScaleOptions) -> Result<(), ScaleError> {
    limit_logging_to_errors();
    std::fs::create_dir_all(&options.output)
        .map_err(ScaleError::system("create the output folder"))?;
    let mut report = Report::default();
    for size in &options.sizes {
        println!("{size}: running");
        match run_one(options, *size) {
            Ok(result) => {
                println!("{}", text::size_lines(&result));
                report.sizes.push(result);
            }
            Err(error) => {
                println!("{size}: failed: {error}");
                report.failures.push(format!("{size}: {error}"));
            }
        }
    }
    report.fit();
    let summary = text::summary(&report);
    println!("{summary}");
    write_report(options, &report, &summary)?;
    if report.failures.is_empty() {
        return Ok(());
    }
    Err(ScaleError::SizesFailed {
        failed: report.failures.len(),
        all: options.sizes.len(),
    })
}

/// Limits this process's log to errors: hundreds of agents would otherwise log each change of their
/// connections.
fn limit_logging_to_errors() {
    let options = LogOptions {
        level: spdlog::Level::Error,
        format: LogFormat::Text,
    };
    // A failure is harmless: the default logger writes more lines, and the run continues.
    let _ = logging::init(options);
}

/// Runs one size with new runtimes and a new temporary folder, so that no state carries over to the next size.
fn run_one(options: &ScaleOptions, size: FleetSize) -> Result<SizeResult, ScaleError> {
    let folder = tempfile::tempdir().map_err(ScaleError::system("create a temporary folder"))?;
    let agents = runtime(AGENT_THREADS)?;
    let load = runtime("hollow-load")?;
    let runtimes = HarnessRuntimes {
        agents: agents.handle().clone(),
        load: load.handle().clone(),
    };
    let result = load.block_on(async {
        let running = run_size::run(options, size, folder.path(), &runtimes);
        let bounded = tokio::time::timeout(SIZE_TIMEOUT, running).await;
        bounded.unwrap_or_else(|_| {
            Err(ScaleError::NotReached {
                what: "the end of the run",
                seconds: SIZE_TIMEOUT.as_secs(),
                detail: size.to_string(),
            })
        })
    });
    agents.shutdown_background();
    load.shutdown_background();
    if result.is_err() {
        print_log_tails(folder.path());
    }
    result
}

fn runtime(name: &str) -> Result<Runtime, ScaleError> {
    Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(ScaleError::system("start a runtime"))
}

/// Prints the last lines of each process's log to standard error, to help diagnose a failed run.
fn print_log_tails(folder: &Path) {
    const LINES: usize = 15;
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    for entry in entries {
        let path = entry.path();
        if path.extension().is_none_or(|end| end != "log") {
            continue;
        }
        let log = std::fs::read_to_string(&path).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let end = &lines[lines.len().saturating_sub(LINES)..];
        eprintln!("{}:\n{}", path.display(), end.join("\n"));
    }
}

fn write_report(options: &ScaleOptions, report: &Report, summary: &str) -> Result<(), ScaleError> {
    write_files(&options.output, "scale", summary, report)?;
    if report.sizes.len() > 1 {
        plot::write(&options.output.join("scale.svg"), report)?;
    }
    Ok(())
}
