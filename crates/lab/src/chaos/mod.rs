//! `millford-lab chaos`: runs a fleet of real processes under every kind of fault and checks the guarantees
//! over the complete history.

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
use crate::commands::backend::{INTERRUPTED_STATUS, wait_for_termination_signal};
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

/// Runs the command. Every process of the fleet has exited when this returns. The exit status is a failure
/// when a guarantee was violated.
///
/// # Errors
/// The command line is invalid, the fleet cannot be started or driven, or a file cannot be written.
pub async fn run(arguments: &[String]) -> Result<ExitCode, FleetError> {
    let mut options = options::getopts();
    let Some(matches) = parse("chaos", &mut options, arguments)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let options = ChaosOptions::read(&matches)?;
    tokio::select! {
        result = inject_faults(options) => result,
        // Dropping the other branch drops the fleet, which kills its processes.
        end = wait_for_termination_signal() => end.map(|()| ExitCode::from(INTERRUPTED_STATUS)),
    }
}

async fn inject_faults(options: ChaosOptions) -> Result<ExitCode, FleetError> {
    let plan = options.site.plan();
    let mut fleet = Fleet::start(plan, Binaries::beside_current_executable()?).await?;
    println!("logs: {}", fleet.folder().display());
    if options.keep_logs {
        fleet.keep_folder();
    }
    fleet.configure().await?;
    let log = HistoryLog::default();
    let mut traffic_options = callers_options(&fleet);
    traffic_options.seed = options.seed << 8;
    let traffic = TrafficTask::start(traffic_options.clone());
    let watcher = Watcher::start(&fleet, log.clone());
    let mut driver = Driver::new(fleet, log.clone(), options.seed, traffic_options);
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
