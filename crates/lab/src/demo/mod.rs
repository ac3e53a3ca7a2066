//! `millford-lab demo`: runs a complete fleet on loopback and injects faults while streams are open.

pub mod faults;
pub mod options;
pub mod show;
pub mod traffic;

use std::process::ExitCode;
use std::time::Instant;

use crate::arguments::parse;
use crate::checks::check_all;
use crate::commands::backend::{INTERRUPTED_STATUS, wait_for_termination_signal};
use crate::fleet::binaries::Binaries;
use crate::fleet::{Fleet, FleetError};
use crate::workload::{Callers, Figures};
use options::DemoOptions;

/// Runs the command. Every process of the fleet has exited when this returns. The exit status is a failure
/// when a guarantee was violated or a request after the faults failed.
///
/// # Errors
/// The command line is invalid, or the fleet cannot be started or driven.
pub async fn run(arguments: &[String]) -> Result<ExitCode, FleetError> {
    let mut options = options::getopts();
    let Some(matches) = parse("demo", &mut options, arguments)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let options = DemoOptions::read(&matches)?;
    // With --keep a signal is the regular end of the run.
    let status_at_end = if options.keep { 0 } else { INTERRUPTED_STATUS };
    tokio::select! {
        result = demonstrate(options) => result,
        // Dropping the other branch drops the fleet, which kills its processes.
        end = wait_for_termination_signal() => end.map(|()| ExitCode::from(status_at_end)),
    }
}

async fn demonstrate(options: DemoOptions) -> Result<ExitCode, FleetError> {
    let started = Instant::now();
    let plan = options.site.plan();
    println!("starting {}: {}", plan.name, show::plan_text(&plan));
    let mut fleet = Fleet::start(plan, Binaries::beside_current_executable()?).await?;
    println!(
        "all processes are ready after {:.1} s",
        started.elapsed().as_secs_f64()
    );
    if options.keep_logs {
        println!("settings, logs and data: {}", fleet.keep_folder().display());
    }
    let result = drive(&mut fleet, &options).await;
    let status = match result {
        Ok(holds) => {
            println!("took {:.1} s", started.elapsed().as_secs_f64());
            Ok(if holds {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            })
        }
        Err(error) => {
            println!("logs are kept in {}", fleet.keep_folder().display());
            Err(error)
        }
    };
    fleet.stop().await;
    status
}

async fn drive(fleet: &mut Fleet, options: &DemoOptions) -> Result<bool, FleetError> {
    let output = fleet.configure().await?;
    println!("millfordctl apply: {}", output.trim());
    println!("every proxy is ready with the configuration");
    if options.keep {
        show::print_addresses(fleet);
        wait_for_termination_signal().await?;
        return Ok(true);
    }
    let mut callers = Callers::new(traffic::callers_options(fleet));
    let mut history = traffic::run(fleet, &mut callers).await?;
    history.calls.extend(callers.finish().await);
    history.executions = fleet.executions()?;
    history.quotas = traffic::quotas(&fleet.plan)?;
    show::print_sample(&history);
    let report = check_all(&history);
    println!("\n{}", Figures::of(&history).text());
    println!("{}", report.table());
    let served = traffic::final_requests_served(&history);
    if !served {
        println!("not all requests after the faults were served");
    }
    Ok(report.holds() && served)
}
