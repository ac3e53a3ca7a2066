//! Reads the seeds of the settings again while the process runs, since the settings file may change with or without
//! a signal and every other control node may be replaced while this one is out of touch.

use std::future::pending;
use std::time::Duration;

use millford_settings::SettingsReader;
use tokio::time::{Interval, MissedTickBehavior, interval};

use super::CONTROL;
use super::event::{GatewayEvent, GatewayQueue};
use crate::node_input::NodeInput;

/// Interval between two reads without a signal.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Passes changed seeds to the gateway.
pub(super) struct SeedWatch {
    /// `None` if the seeds are fixed.
    reader: Option<SettingsReader<Vec<String>>>,
    queue: GatewayQueue,
    last: Vec<String>,
    reads: Interval,
}

impl SeedWatch {
    /// Creates a watch; `seeds` are those of the start.
    pub(super) fn new(
        reader: Option<SettingsReader<Vec<String>>>,
        seeds: Vec<String>,
        queue: GatewayQueue,
    ) -> Self {
        let mut reads = interval(READ_INTERVAL);
        reads.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            reader,
            queue,
            last: seeds,
            reads,
        }
    }

    /// Waits until the next read is due.
    pub(super) async fn due(&mut self) {
        if self.reader.is_none() {
            pending::<()>().await;
        }
        self.reads.tick().await;
    }

    /// Reads the seeds and passes them on if they have changed. Settings that cannot be read change nothing.
    pub(super) async fn read(&mut self) {
        let Some(reader) = self.reader.clone() else {
            return;
        };
        let read = tokio::task::spawn_blocking(move || reader()).await;
        let Ok(Some(seeds)) = read else {
            return;
        };
        if seeds == self.last {
            return;
        }
        CONTROL.info(format!(
            "The settings name other seeds: {}.",
            seeds.join(", ")
        ));
        self.last.clone_from(&seeds);
        let input = NodeInput::Seeds(seeds);
        let _ = self.queue.send(GatewayEvent::Input(input));
    }
}
