//! Steady traffic beside the faults.

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval};

use crate::caller::RequestOutcome;
use crate::workload::mix::{LOOKUP_PERIOD, Mix};
use crate::workload::{Callers, CallersOptions};

/// Steady traffic beside the faults.
#[derive(Debug)]
pub struct TrafficTask {
    stop: watch::Sender<bool>,
    task: JoinHandle<Vec<RequestOutcome>>,
}

impl TrafficTask {
    /// Starts the traffic.
    #[must_use]
    pub fn start(options: CallersOptions) -> Self {
        let (stop, stopped) = watch::channel(false);
        Self {
            stop,
            task: tokio::spawn(call(options, stopped)),
        }
    }

    /// Stops it, waits for the open requests and returns what all callers saw.
    pub async fn stop(self) -> Vec<RequestOutcome> {
        self.stop.send_replace(true);
        self.task.await.unwrap_or_default()
    }
}

async fn call(options: CallersOptions, mut stopped: watch::Receiver<bool>) -> Vec<RequestOutcome> {
    let mut callers = Callers::new(options);
    let mut mix = Mix::default();
    let mut beats = interval(LOOKUP_PERIOD);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = beats.tick() => mix.tick(&mut callers),
            _ = stopped.changed() => return callers.finish().await,
        }
    }
}
