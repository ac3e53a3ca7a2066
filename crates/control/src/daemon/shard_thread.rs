//! The thread of one shard, which runs its core and blocks in fsync.

use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::Instant;

use millford_core::time::monotonic_now;

use super::event::{GatewayEvent, GatewayQueue, Generation};
use crate::shard::{ShardCore, ShardCoreOptions, ShardInput};
use crate::timing::TICK;

/// Most inputs that are handled before a flush.
const MAX_BATCH_INPUTS: usize = 1024;

enum ThreadMessage {
    Input(Box<ShardInput>),
    Stop,
}

/// Handle of a shard's thread. Dropping it stops and joins the thread, which closes the shard's
/// folder.
pub struct ShardThread {
    /// Number of the thread, unique while the process runs.
    pub generation: Generation,
    queue: Sender<ThreadMessage>,
    handle: Option<JoinHandle<()>>,
}

impl ShardThread {
    /// Starts the thread, which opens the shard's storage first.
    ///
    /// # Errors
    /// The operating system cannot start a thread.
    pub fn start(
        options: ShardCoreOptions,
        generation: Generation,
        gateway: GatewayQueue,
    ) -> std::io::Result<Self> {
        let (queue, messages) = mpsc::channel();
        let name = format!("shard-{}", options.shard);
        let handle = std::thread::Builder::new()
            .name(name)
            .spawn(move || run(options, generation, &messages, &gateway))?;
        Ok(Self {
            generation,
            queue,
            handle: Some(handle),
        })
    }

    /// Queues an input. It is dropped if the thread has ended, which it has reported to the
    /// gateway.
    pub fn send(&self, input: ShardInput) {
        let _ = self.queue.send(ThreadMessage::Input(Box::new(input)));
    }
}

impl Drop for ShardThread {
    fn drop(&mut self) {
        // A thread that has already ended receives no message and is joined at once.
        let _ = self.queue.send(ThreadMessage::Stop);
        if let Some(handle) = self.handle.take() {
            let _ = handle.join();
        }
    }
}

fn run(
    options: ShardCoreOptions,
    generation: Generation,
    messages: &Receiver<ThreadMessage>,
    gateway: &GatewayQueue,
) {
    let shard = options.shard;
    let mut core = match ShardCore::open(options, monotonic_now()) {
        Ok(core) => core,
        Err(error) => {
            let _ = gateway.send(GatewayEvent::OpenFailed { generation, error });
            return;
        }
    };
    let mut next_tick = Instant::now() + TICK;
    loop {
        if !handle_batch(&mut core, messages, &mut next_tick) {
            return;
        }
        let outputs = core.flush(monotonic_now());
        if outputs.is_empty() {
            continue;
        }
        let event = GatewayEvent::Shard {
            shard,
            generation,
            outputs,
        };
        if gateway.send(event).is_err() {
            return;
        }
    }
}

/// Handles the queued inputs, or waits for one until the next tick. Returns false if the thread is
/// to end.
fn handle_batch(
    core: &mut ShardCore,
    messages: &Receiver<ThreadMessage>,
    next_tick: &mut Instant,
) -> bool {
    let wait = next_tick.saturating_duration_since(Instant::now());
    match messages.recv_timeout(wait) {
        Ok(ThreadMessage::Input(input)) => core.handle(monotonic_now(), *input),
        Ok(ThreadMessage::Stop) | Err(RecvTimeoutError::Disconnected) => return false,
        Err(RecvTimeoutError::Timeout) => {}
    }
    for _ in 0..MAX_BATCH_INPUTS {
        match messages.try_recv() {
            Ok(ThreadMessage::Input(input)) => core.handle(monotonic_now(), *input),
            Ok(ThreadMessage::Stop) => return false,
            Err(_) => break,
        }
    }
    let now = Instant::now();
    if now >= *next_tick {
        *next_tick = now + TICK;
        core.handle(monotonic_now(), ShardInput::Tick);
    }
    true
}
