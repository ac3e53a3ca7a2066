//! Plays the plan of one proxy machine.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::deployment::{FrontMachine, ProcessError};
use crate::plan::{FrontAction, FrontStep};

/// Interval at which the settings file is written anew and ended processes are noticed.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Plays the steps of a proxy machine that begin before `until`. Returns the machine, whose processes run.
///
/// # Errors
/// A process cannot be started.
pub async fn drive_front(
    mut front: FrontMachine,
    steps: Vec<FrontStep>,
    until: Instant,
) -> Result<FrontMachine, ProcessError> {
    for step in steps {
        let next = Instant::now() + step.pause;
        keep_up(&mut front, next.min(until)).await?;
        if Instant::now() >= until {
            break;
        }
        match step.action {
            FrontAction::Terminate { down, meanwhile } => {
                front.terminate(meanwhile).await;
                sleep(down).await;
                front.start(false)?;
            }
            FrontAction::Kill { down } => {
                front.kill().await;
                sleep(down).await;
                front.start(false)?;
            }
            FrontAction::RestartRole {
                role,
                is_graceful,
                down,
            } => front.restart_role(role, is_graceful, down).await?,
            FrontAction::Freeze { duration, hangs_up } => {
                front.freeze(duration).await?;
                if hangs_up {
                    front.hang_up()?;
                }
            }
            FrontAction::HangUp => front.hang_up()?,
        }
    }
    keep_up(&mut front, until).await?;
    Ok(front)
}

/// Writes the settings file anew and notices ended processes until `end`.
async fn keep_up(front: &mut FrontMachine, end: Instant) -> Result<(), ProcessError> {
    while Instant::now() < end {
        front.record_own_ends();
        front.write_settings()?;
        sleep(UPKEEP_INTERVAL.min(end - Instant::now())).await;
    }
    front.write_settings()
}
