//! Drives the cost model of one backend by the process's clock.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use millford_backend_model::{
    BackendEvent, BackendEventKind, BackendOptions as ModelOptions, EmulatedBackend, ModelProfile,
    RunRefused, RunRequest, RunStarted, text_blocks,
};
use millford_core::time::monotonic_now;
use tokio::sync::{Notify, watch};

use super::options::BackendOptions;

/// Bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Models whose names end so cost little.
const LIGHT_SUFFIX: &str = "small";

/// The cost model of one backend and the runs that wait on it.
#[derive(Debug)]
pub struct Engine {
    inner: Mutex<Inner>,
    changed: Notify,
}

#[derive(Debug)]
struct Inner {
    backend: EmulatedBackend,
    runs: HashMap<u64, watch::Sender<u32>>,
    next_run: u64,
}

/// A run in the engine. Dropping it cancels it.
#[derive(Debug)]
pub struct EngineRun {
    engine: Arc<Engine>,
    run: u64,
    tokens: watch::Receiver<u32>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// What the prefix cache held.
    pub started: RunStarted,
}

impl Engine {
    /// An engine of the size that the options give, with every declared model loaded.
    #[must_use]
    pub fn new(options: &BackendOptions) -> Arc<Self> {
        let model_options = ModelOptions {
            cores: f64::from(options.cores),
            bandwidth_gbps: options.bandwidth_gbps,
            ..ModelOptions::default()
        };
        let mut backend = EmulatedBackend::new(model_options, monotonic_now());
        for declaration in &options.declarations {
            backend.load_model(&declaration.model, profile_of(&declaration.model));
        }
        let inner = Inner {
            backend,
            runs: HashMap::new(),
            next_run: 1,
        };
        let engine = Arc::new(Self {
            inner: Mutex::new(inner),
            changed: Notify::new(),
        });
        engine.set_speed(options.speed);
        engine
    }

    /// Starts a run of `output_tokens` tokens on `prompt`.
    ///
    /// # Errors
    /// [`RunRefused`] when the backend is full or lacks the model.
    pub fn start(
        self: &Arc<Self>,
        model: &str,
        prompt: &str,
        output_tokens: u32,
    ) -> Result<EngineRun, RunRefused> {
        let mut inner = self.lock();
        inner.advance();
        let block_tokens = inner.backend.options().block_tokens as usize;
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
        let run = inner.next_run;
        let request = RunRequest {
            run,
            model: model.to_owned(),
            prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
            prompt_blocks: text_blocks(prompt, block_tokens * BYTES_PER_TOKEN),
            output_tokens,
        };
        let started = inner.backend.start(&request)?;
        inner.next_run += 1;
        let (sender, tokens) = watch::channel(0);
        inner.runs.insert(run, sender);
        drop(inner);
        self.changed.notify_one();
        let engine = Arc::clone(self);
        Ok(EngineRun {
            engine,
            run,
            tokens,
            prompt_tokens: request.prompt_tokens,
            started,
        })
    }

    /// Sets the speed from now on; 1 is normal.
    pub fn set_speed(&self, speed: f64) {
        let mut inner = self.lock();
        let events = inner.backend.set_speed(monotonic_now(), speed);
        inner.publish(&events);
        drop(inner);
        self.changed.notify_one();
    }

    /// Demand for memory bandwidth over the bandwidth.
    #[must_use]
    pub fn load(&self) -> f64 {
        self.lock().backend.bandwidth_utilization()
    }

    /// Publishes tokens as they are due. Never returns.
    pub async fn drive(self: Arc<Self>) {
        loop {
            let pause = self.step();
            let changed = self.changed.notified();
            match pause {
                Some(pause) => {
                    let _ = tokio::time::timeout(pause, changed).await;
                }
                None => changed.await,
            }
        }
    }

    /// Progresses to now; returns the time to the next token, if any run is open.
    fn step(&self) -> Option<Duration> {
        let mut inner = self.lock();
        inner.advance();
        let next = inner.backend.next_token()?;
        Some(next.since(monotonic_now()))
    }

    fn cancel(&self, run: u64) {
        let mut inner = self.lock();
        inner.advance();
        inner.backend.cancel(run);
        inner.runs.remove(&run);
        drop(inner);
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn advance(&mut self) {
        let events = self.backend.advance(monotonic_now());
        self.publish(&events);
    }

    fn publish(&mut self, events: &[BackendEvent]) {
        for event in events {
            let tokens = match event.kind {
                BackendEventKind::FirstToken => 1,
                BackendEventKind::Tokens(tokens) => tokens,
                BackendEventKind::Finished => continue,
            };
            if let Some(sender) = self.runs.get(&event.run) {
                sender.send_replace(tokens);
            }
        }
    }
}

impl EngineRun {
    /// Waits until `tokens` tokens are there.
    pub async fn wait_for(&mut self, tokens: u32) {
        // The sender lives in the engine, which this run holds; the wait cannot fail.
        let _ = self.tokens.wait_for(|there| *there >= tokens).await;
    }
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        self.engine.cancel(self.run);
    }
}

fn profile_of(model: &str) -> ModelProfile {
    if model.ends_with(LIGHT_SUFFIX) {
        ModelProfile::light()
    } else {
        ModelProfile::heavy()
    }
}
