//! Plays the plan of the control machines.

use tokio::time::{Instant, sleep};

use crate::bounds::CATCH_UP;
use crate::deployment::{ControlMachines, ProcessError};
use crate::plan::{ControlAction, ControlStep};

/// Plays the steps of the control machines that begin before `until`. After each, the machine has [`CATCH_UP`], so that
/// one at a time counts as lost.
///
/// # Errors
/// A process cannot be started.
pub async fn drive_control(
    control: &mut ControlMachines,
    steps: Vec<ControlStep>,
    until: Instant,
) -> Result<(), ProcessError> {
    for step in steps {
        sleep(
            step.pause
                .min(until.saturating_duration_since(Instant::now())),
        )
        .await;
        if Instant::now() >= until {
            break;
        }
        control.record_own_ends();
        let index = step.machine % control.len();
        match step.action {
            ControlAction::Kill { down } => control.kill_and_restart(index, down, true).await?,
            ControlAction::Wipe { down } => control.kill_and_restart(index, down, false).await?,
            ControlAction::KillAll { down } => control.kill_all_and_restart(down).await?,
            ControlAction::Terminate { down } => control.terminate_and_restart(index, down).await?,
            ControlAction::Freeze { duration } => control.freeze(index, duration).await,
            ControlAction::Replace { delay } => control.replace(index, delay).await?,
            ControlAction::ReplaceAsPlanned { delay } => {
                control.replace_as_planned(index, delay).await?;
            }
            ControlAction::ReplaceTwoAsPlanned { gap } => {
                control.replace_two_as_planned(gap).await?;
            }
            ControlAction::FreezeWhileOthersAreReplaced { hangs_up } => {
                control
                    .freeze_while_others_are_replaced(index, hangs_up)
                    .await?;
            }
            ControlAction::HangUp => {
                control.hang_up(index);
                continue;
            }
        }
        sleep(CATCH_UP).await;
    }
    Ok(())
}
