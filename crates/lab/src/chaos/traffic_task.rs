//! Sends steady traffic while faults are injected.

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::caller::RequestOutcome;
use crate::workload::mix::{LOOKUP_PERIOD, Mix};
use crate::workload::{Callers, CallersOptions};

/// Task that sends steady traffic.
#[derive(Debug)]
pub struct TrafficTask {
    stop: watch::Sender<bool>,
    task: JoinHandle<Vec<RequestOutcome>>,
}

impl TrafficTask {
    /// Starts the task.
    #[must_use]
    pub fn start(options: CallersOptions) -> Self {
        let (stop, stopped) = watch::channel(false);
        Self {
            stop,
            task: tokio::spawn(send_traffic(options, stopped)),
        }
    }

    /// Starts no further requests, waits for the open ones and returns the outcomes of all.
    pub async fn stop(self) -> Vec<RequestOutcome> {
        self.stop.send_replace(true);
        self.task.await.unwrap_or_default()
    }
}

async fn send_traffic(
    options: CallersOptions,
    mut stopped: watch::Receiver<bool>,
) -> Vec<RequestOutcome> {
    let mut callers = Callers::new(options);
    let mut mix = Mix::default();
    let mut ticks = interval(LOOKUP_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => mix.tick(&mut callers),
            _ = stopped.changed() => return callers.finish().await,
        }
    }
}
