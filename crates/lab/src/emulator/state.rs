//! Everything that the connections of one backend share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use super::attempts::{AttemptState, Attempts};
use super::engine::Engine;
use super::execution::{Execution, ExecutionEnd};
use super::execution_log::{ExecutionIndex, ExecutionLog};
use super::faults::FaultSwitches;
use super::options::BackendOptions;

/// Everything that the connections of one backend share.
#[derive(Debug)]
pub struct BackendState {
    /// What the backend is.
    pub options: BackendOptions,
    /// Fault switches; open streams watch them.
    pub faults: watch::Sender<FaultSwitches>,
    /// Cost model of the backend.
    pub engine: Arc<Engine>,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    attempts: Attempts,
    executions: ExecutionLog,
}

impl BackendState {
    /// The state of a fresh backend.
    ///
    /// # Errors
    /// The execution log cannot be opened.
    pub fn new(options: BackendOptions) -> std::io::Result<Arc<Self>> {
        let executions = match &options.execution_log {
            Some(path) => ExecutionLog::with_file(path)?,
            None => ExecutionLog::default(),
        };
        let inner = Inner {
            attempts: Attempts::starting_now(),
            executions,
        };
        let engine = Engine::new(&options);
        Ok(Arc::new(Self {
            options,
            engine,
            faults: watch::Sender::new(FaultSwitches::default()),
            inner: Mutex::new(inner),
        }))
    }

    /// Begins an execution unless its attempt was withdrawn or has run.
    pub fn begin(self: &Arc<Self>, execution: Execution) -> Option<RunningExecution> {
        let mut inner = self.lock();
        if !inner.attempts.begin(&execution.attempt) {
            return None;
        }
        let attempt = execution.attempt.clone();
        let index = inner.executions.start(execution);
        drop(inner);
        Some(RunningExecution {
            state: Arc::clone(self),
            index,
            attempt,
            end: None,
        })
    }

    /// Withdraws an attempt.
    pub fn withdraw(&self, attempt: &str, age: Option<Duration>) -> AttemptState {
        self.lock().attempts.withdraw(attempt, age)
    }

    /// A copy of the execution log.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().executions.executions().to_vec()
    }

    /// Sets the fault switches; open streams notice.
    pub fn set_faults(&self, faults: FaultSwitches) {
        let slow_factor = faults.slow_factor.max(f64::MIN_POSITIVE);
        self.engine.set_speed(self.options.speed / slow_factor);
        self.faults.send_replace(faults);
    }

    /// `duration` of the cost model as it passes here, with the speed and the slow fault.
    #[must_use]
    pub fn scaled(&self, duration: Duration) -> Duration {
        let slow_factor = self.faults.borrow().slow_factor;
        duration.mul_f64((slow_factor / self.options.speed).max(0.0))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An execution that has begun. Dropping it records its end.
#[derive(Debug)]
pub struct RunningExecution {
    state: Arc<BackendState>,
    index: ExecutionIndex,
    attempt: String,
    end: Option<ExecutionEnd>,
}

impl RunningExecution {
    /// Every chunk was handed to the connection.
    pub fn complete(&mut self) {
        self.end = Some(ExecutionEnd::Completed);
    }
}

impl Drop for RunningExecution {
    fn drop(&mut self) {
        let end = self.end.unwrap_or(ExecutionEnd::Cancelled);
        let mut inner = self.state.lock();
        inner.executions.end(self.index, end);
        inner.attempts.finish(&self.attempt);
    }
}
