//! Runs the cost model of one backend in real time.

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
/// Suffix of the names of models with the light cost profile.
const LIGHT_SUFFIX: &str = "small";

/// Cost model of one backend, with the runs that wait for its tokens.
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

/// A run in the cost model. Dropping it cancels the run.
#[derive(Debug)]
pub struct EngineRun {
    engine: Arc<Engine>,
    run: u64,
    tokens: watch::Receiver<u32>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Result of the start, with the number of prompt tokens found in the prefix cache.
    pub started: RunStarted,
}

impl Engine {
    /// Creates an engine with the cores, bandwidth and speed of the options and every declared model loaded.
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

    /// Starts a run that generates `output_tokens` tokens for `prompt`.
    ///
    /// # Errors
    /// [`RunRefused`] when the backend has no capacity left or has not loaded the model.
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

    /// Sets the factor on the speed of the cost model; 1 is normal speed.
    pub fn set_speed(&self, speed: f64) {
        let mut inner = self.lock();
        let events = inner.backend.set_speed(monotonic_now(), speed);
        inner.publish(&events);
        drop(inner);
        self.changed.notify_one();
    }

    /// Returns the ratio of the demand for memory bandwidth to the available bandwidth.
    #[must_use]
    pub fn load(&self) -> f64 {
        self.lock().backend.bandwidth_utilization()
    }

    /// Publishes tokens to the runs when they are due. Never returns.
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

    /// Advances the cost model to the current time. Returns the time to the next token, or `None` without runs.
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
    /// Waits until the run has generated `tokens` tokens.
    pub async fn wait_for(&mut self, tokens: u32) {
        // The wait cannot fail: this run keeps the engine alive, and the engine owns the sender.
        let _ = self.tokens.wait_for(|generated| *generated >= tokens).await;
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
