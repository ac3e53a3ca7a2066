//! Limits of the small deployments. The settings files contain them and the checks apply them.

use std::time::Duration;

/// Time without a disruption after which a machine is in touch (`contactMs`).
pub const CONTACT: Duration = Duration::from_secs(3);
/// Time from the acknowledgement of a configuration until it is in force (`configApplyMs`).
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Extension of [`CONFIG_APPLY`] while the control machines are not stable (`stretchMaxMs`).
pub const STRETCH_MAX: Duration = Duration::from_secs(5);
/// Time after which a machine that has shown a version must not show an older one (`downgradeSlackMs`).
pub const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);
/// Time after which a draining backend gets no more requests (`drainMs`).
pub const DRAIN: Duration = Duration::from_secs(3);
/// Time from SIGTERM to SIGKILL (`graceS`).
pub const GRACE: Duration = Duration::from_secs(8);
/// Time after which a machine that is back or new is no longer counted as lost (`catchUpS`).
pub const CATCH_UP: Duration = Duration::from_secs(4);
/// Time after the last byte of a request within which its connection may still end unanswered (`lossSlackMs`).
pub const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after the last disruption within which service is back (`recoveryS`).
pub const RECOVERY: Duration = Duration::from_secs(12);
/// Age of the operator's list of control machines when it is written to a settings file (`seedLagS`).
pub const SEED_LAG: Duration = Duration::from_secs(3);
/// Time after which a call of the operator counts as failed (`ackMs`).
pub const ACKNOWLEDGE: Duration = Duration::from_secs(4);
/// Memory of each process, in MB (`memoryMb`).
pub const MEMORY_MB: u64 = 260;
/// Descriptors of each process (`maxFds`).
pub const MAX_DESCRIPTORS: u64 = 4100;
