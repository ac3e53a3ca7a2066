//! Plays the plan of the backends.

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::bounds::DRAIN;
use crate::deployment::Network;
use crate::history::{BackendDrain, Recorder};
use crate::plan::BackendStep;
use crate::stand_ins::{Backend, BackendList};

/// Number of addresses on which backends listen.
const HOSTS: usize = 4;

/// Starts a backend and lists it.
///
/// # Errors
/// No port can be bound.
pub async fn start_backend(
    number: usize,
    network: Network,
    recorder: &Recorder,
    list: &BackendList,
) -> std::io::Result<Backend> {
    let id = format!("backend-{number}");
    let host = network.backend(number % HOSTS);
    let backend = Backend::start(id, host, recorder.clone()).await?;
    list.add(&backend.id, backend.address);
    Ok(backend)
}

/// Replaces backends by the plan.
pub struct BackendDriver {
    /// Backends that run, the oldest first.
    pub backends: Vec<Backend>,
    /// The list that shows them.
    pub list: BackendList,
    /// Addresses of new backends.
    pub network: Network,
    /// Records runs and drains.
    pub recorder: Recorder,
}

impl BackendDriver {
    /// Plays the steps that begin before `until`. Returns the backends that run, once all others have ended.
    ///
    /// # Errors
    /// A backend cannot be started.
    pub async fn drive(
        mut self,
        steps: Vec<BackendStep>,
        until: Instant,
    ) -> Result<Vec<Backend>, std::io::Error> {
        let mut leaving = JoinSet::new();
        for (number, step) in (self.backends.len()..).zip(steps) {
            sleep(step.pause).await;
            if Instant::now() >= until {
                break;
            }
            let new = start_backend(number, self.network, &self.recorder, &self.list).await?;
            self.backends.push(new);
            let old = self.backends.remove(0);
            leaving.spawn(end_backend(
                old,
                step,
                self.list.clone(),
                self.recorder.clone(),
            ));
        }
        while leaving.join_next().await.is_some() {}
        Ok(self.backends)
    }
}

async fn end_backend(backend: Backend, step: BackendStep, list: BackendList, recorder: Recorder) {
    if step.drains {
        list.drain(&backend.id);
        let drain = BackendDrain {
            backend: backend.id.clone(),
            since: recorder.now(),
        };
        recorder.lock().drains.push(drain);
        sleep(DRAIN + step.linger).await;
    }
    let id = backend.id.clone();
    drop(backend);
    list.remove(&id);
}
