//! `millford-lab chaos`: real processes under every fault of the brief, with the guarantees checked
//! over the whole history.

pub mod backend_faults;
pub mod companion;
pub mod control_faults;
pub mod driver;
pub mod fault_kind;
pub mod history_log;
pub mod operator_faults;
pub mod options;
pub mod orders;
pub mod proxy_faults;
pub mod report;
pub mod status_view;
pub mod tenant_faults;
pub mod traffic_task;
pub mod watcher;

use std::process::ExitCode;

use crate::arguments::parse;
use crate::checks::check_all;
use crate::commands::backend::{INTERRUPTED_STATUS, wait_for_end};
use crate::demo::traffic::{callers_options, quotas};
use crate::fleet::binaries::Binaries;
use crate::fleet::{Fleet, FleetError};
use crate::workload::Figures;
use driver::Driver;
use history_log::HistoryLog;
use options::ChaosOptions;
use report::{ChaosReport, write_history};
use traffic_task::TrafficTask;
use watcher::Watcher;

/// Runs the faults; every process has ended when this returns.
///
/// # Errors
/// A bad command line, a fleet that cannot be started or driven, or a file that cannot be written.
pub async fn run(arguments: &[String]) -> Result<ExitCode, FleetError> {
    let mut options = options::getopts();
    let Some(matches) = parse("chaos", &mut options, arguments)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let options = ChaosOptions::read(&matches)?;
    tokio::select! {
        result = wreak(options) => result,
        // The fleet inside the other branch is dropped, and its processes with it.
        end = wait_for_end() => end.map(|()| ExitCode::from(INTERRUPTED_STATUS)),
    }
}

async fn wreak(options: ChaosOptions) -> Result<ExitCode, FleetError> {
    let plan = options.site.plan();
    let mut fleet = Fleet::start(plan, Binaries::beside_this_one()?).await?;
    println!("logs: {}", fleet.folder().display());
    if options.keep_logs {
        fleet.keep_folder();
    }
    fleet.configure().await?;
    let log = HistoryLog::default();
    let mut calling = callers_options(&fleet);
    calling.seed = options.seed << 8;
    let traffic = TrafficTask::start(calling.clone());
    let watcher = Watcher::start(&fleet, log.clone());
    let mut driver = Driver::new(fleet, log.clone(), options.seed, calling);
    let result = driver.run(&options).await;
    watcher.stop().await;
    let calls = traffic.stop().await;
    let mut history = log.take();
    history.calls.extend(calls);
    history.executions = driver.fleet.executions()?;
    history.quotas = quotas(&driver.fleet.plan)?;
    if let Some(path) = &options.history {
        write_history(&history, path)?;
    }
    let report = ChaosReport {
        site: driver.fleet.plan.name,
        seed: options.seed,
        minutes: options.minutes,
        faults: driver.injected_faults.clone(),
        figures: Figures::of(&history),
        guarantees: check_all(&history),
    };
    report.publish(options.json.as_deref())?;
    if let Err(error) = result {
        println!("logs are kept in {}", driver.fleet.keep_folder().display());
        driver.fleet.stop().await;
        return Err(error);
    }
    if !report.guarantees.holds() {
        println!("logs are kept in {}", driver.fleet.keep_folder().display());
    }
    driver.fleet.stop().await;
    Ok(if report.guarantees.holds() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
