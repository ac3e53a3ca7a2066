//! State shared by all connections of one backend.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;

use super::attempts::{AttemptState, Attempts};
use super::engine::Engine;
use super::execution::{Execution, ExecutionEnd};
use super::execution_log::{ExecutionIndex, ExecutionLog};
use super::faults::FaultSwitches;
use super::options::BackendOptions;

/// State shared by all connections of one backend.
#[derive(Debug)]
pub struct BackendState {
    /// Options that the backend was started with.
    pub options: BackendOptions,
    /// Fault switches; open streams subscribe to changes.
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
    /// Creates the state of a backend without attempts or faults.
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

    /// Begins an execution and records it. Returns `None` if its attempt was withdrawn or has run before.
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

    /// Withdraws an attempt and returns its state, as [`Attempts::withdraw`].
    pub fn withdraw(&self, attempt: &str, age: Option<Duration>) -> AttemptState {
        self.lock().attempts.withdraw(attempt, age)
    }

    /// Returns a copy of the executions since the process started.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().executions.executions().to_vec()
    }

    /// Replaces the fault switches, with effect on open streams too.
    pub fn set_faults(&self, faults: FaultSwitches) {
        let slow_factor = faults.slow_factor.max(f64::MIN_POSITIVE);
        self.engine.set_speed(self.options.speed / slow_factor);
        self.faults.send_replace(faults);
    }

    /// Converts a duration of the cost model to real time, by the speed and the slow-down fault.
    #[must_use]
    pub fn scaled(&self, duration: Duration) -> Duration {
        let slow_factor = self.faults.borrow().slow_factor;
        duration.mul_f64((slow_factor / self.options.speed).max(0.0))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An execution that has begun. Dropping the value records its end.
#[derive(Debug)]
pub struct RunningExecution {
    state: Arc<BackendState>,
    index: ExecutionIndex,
    attempt: String,
    end: Option<ExecutionEnd>,
}

impl RunningExecution {
    /// Marks the execution as completed. Without this call its end is recorded as cancelled.
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
