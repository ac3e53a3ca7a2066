//! Runs the sizes one after the other and writes the report.

use std::path::Path;

use millford_settings::{LogFormat, LogOptions, logging};
use tokio::runtime::{Builder, Runtime};

use crate::error::ScaleError;
use crate::hollow::hollow_node::RigRuntimes;
use crate::options::ScaleOptions;
use crate::report::{Report, plot, text, write_files};
use crate::run_size::{self, AGENT_THREADS};
use crate::size::FleetSize;
use crate::size_result::SizeResult;

/// Threads for the hollow agents, and as many for the rest of the rig.
const THREADS: usize = 3;

/// Longest time for one size, starts and stops included.
const SIZE_WITHIN: std::time::Duration = std::time::Duration::from_secs(75);

/// Runs everything that the options ask for.
///
/// # Errors
/// Fails when a size could not be measured, or the report not be written; sizes before it are
/// reported all the same.
pub fn run(options: &ScaleOptions) -> Result<(), ScaleError> {
    quiet_logs();
    std::fs::create_dir_all(&options.output)
        .map_err(ScaleError::system("make the output folder"))?;
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

/// Hundreds of agents would log each change of their links.
fn quiet_logs() {
    let options = LogOptions {
        level: spdlog::Level::Error,
        format: LogFormat::Text,
    };
    // Without a logger of its own the library writes more, not less; the run goes on all the same.
    let _ = logging::init(options);
}

/// Each size has fresh runtimes and a fresh folder, so that none leaves anything to the next.
fn run_one(options: &ScaleOptions, size: FleetSize) -> Result<SizeResult, ScaleError> {
    let folder = tempfile::tempdir().map_err(ScaleError::system("make a folder"))?;
    let agents = runtime(AGENT_THREADS)?;
    let load = runtime("hollow-load")?;
    let runtimes = RigRuntimes {
        agents: agents.handle().clone(),
        load: load.handle().clone(),
    };
    let result = load.block_on(async {
        let running = run_size::run(options, size, folder.path(), &runtimes);
        let bounded = tokio::time::timeout(SIZE_WITHIN, running).await;
        bounded.unwrap_or_else(|_| {
            Err(ScaleError::NotReached {
                what: "the end of the run",
                seconds: SIZE_WITHIN.as_secs(),
                detail: size.to_string(),
            })
        })
    });
    agents.shutdown_background();
    load.shutdown_background();
    if result.is_err() {
        show_logs(folder.path());
    }
    result
}

fn runtime(name: &str) -> Result<Runtime, ScaleError> {
    Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name(name)
        .enable_all()
        .build()
        .map_err(ScaleError::system("make threads"))
}

/// The ends of the processes' logs, for the developer whose run failed.
fn show_logs(folder: &Path) {
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
