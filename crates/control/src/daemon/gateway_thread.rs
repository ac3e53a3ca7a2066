//! The gateway's thread: runs the gateway and carries out its outputs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Instant;

use millford_api::internal::Frame;
use millford_core::time::monotonic_now;
use millford_core::{ResultCode, ShardId};
use millford_storage::StorageError;
use tokio::sync::{mpsc as async_mpsc, oneshot};

use super::connections::Connector;
use super::event::{GatewayEvent, GatewayQueue, Generation};
use super::event_log::log_event;
use super::shard_thread::ShardThread;
use super::shared::NodeShared;
use crate::folders;
use crate::gateway::{Gateway, GatewayInput, GatewayOutput};
use crate::link::LinkId;
use crate::node::{FolderOpener, core_options, shard_folder};
use crate::node_input::NodeInput;
use crate::node_output::NodeOutput;
use crate::operator::OperatorReply;
use crate::options::ControlOptions;
use crate::shard::{ShardCoreOptions, ShardInput, ShardOutput};
use crate::storage_code::storage_code;
use crate::timing::TICK;

/// Most events that are handled before the tick is checked.
const MAX_BATCH_EVENTS: usize = 1024;

/// The gateway with the links, shard threads and pending answers that its thread owns.
pub struct GatewayThread {
    options: ControlOptions,
    folders: FolderOpener,
    gateway: Gateway,
    events: Receiver<GatewayEvent>,
    queue: GatewayQueue,
    connector: Connector,
    shared: Arc<NodeShared>,
    writers: BTreeMap<LinkId, async_mpsc::Sender<Frame>>,
    shards: BTreeMap<ShardId, ShardThread>,
    answers: BTreeMap<u64, oneshot::Sender<OperatorReply>>,
    last_request: u64,
    last_generation: Generation,
}

impl GatewayThread {
    /// Opens the node's folder and starts its shards.
    ///
    /// # Errors
    /// The node's folder cannot be read or written.
    pub fn open(
        options: ControlOptions,
        folders: FolderOpener,
        events: Receiver<GatewayEvent>,
        queue: GatewayQueue,
        connector: Connector,
        shared: Arc<NodeShared>,
    ) -> Result<Self, StorageError> {
        let disk = folders(crate::node::NODE_FOLDER);
        let (gateway, first) = Gateway::open(options.clone(), disk, monotonic_now())?;
        let mut thread = Self {
            options,
            folders,
            gateway,
            events,
            queue,
            connector,
            shared,
            writers: BTreeMap::new(),
            shards: BTreeMap::new(),
            answers: BTreeMap::new(),
            last_request: 0,
            last_generation: 0,
        };
        thread.execute(first);
        Ok(thread)
    }

    /// Runs until the process ends.
    pub fn run(mut self) {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match self.events.recv_timeout(wait) {
                Ok(event) => self.handle_event(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for _ in 0..MAX_BATCH_EVENTS {
                let Ok(event) = self.events.try_recv() else {
                    break;
                };
                self.handle_event(event);
            }
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK;
                self.send_to_gateway(GatewayInput::Node(NodeInput::Tick));
                self.shared.publish(&self.gateway, self.writers.len());
            }
        }
    }

    fn handle_event(&mut self, event: GatewayEvent) {
        match event {
            GatewayEvent::Input(input) => self.handle_input(input),
            GatewayEvent::Frame {
                link,
                frame,
                permit,
            } => {
                let frame = *frame;
                self.handle_input(NodeInput::Frame { link, frame });
                drop(permit);
            }
            GatewayEvent::Link { link, writer } => {
                self.writers.insert(link, writer);
            }
            GatewayEvent::Shard {
                shard,
                generation,
                outputs,
            } => self.handle_shard_outputs(shard, generation, outputs),
            GatewayEvent::OpenFailed { generation, error } => self.open_failed(generation, &error),
            GatewayEvent::Operator { body, answer } => {
                self.last_request += 1;
                let request = self.last_request;
                self.answers.insert(request, answer);
                self.send_to_gateway(GatewayInput::Node(NodeInput::Operator { request, body }));
            }
        }
    }

    fn handle_input(&mut self, input: NodeInput) {
        if let NodeInput::LinkClosed { link } = &input {
            self.writers.remove(link);
        }
        self.send_to_gateway(GatewayInput::Node(input));
    }

    fn handle_shard_outputs(
        &mut self,
        shard: ShardId,
        generation: Generation,
        outputs: Vec<ShardOutput>,
    ) {
        let running = self.shards.get(&shard);
        if running.is_none_or(|thread| thread.generation != generation) {
            return;
        }
        for output in outputs {
            self.send_to_gateway(GatewayInput::Shard { shard, output });
        }
    }

    fn open_failed(&mut self, generation: Generation, error: &StorageError) {
        let mut threads = self.shards.values();
        if !threads.any(|thread| thread.generation == generation) {
            return;
        }
        if matches!(error, StorageError::Corrupt { .. }) {
            super::STORE.error(format!(
                "The storage of a shard is corrupt ({error}); starting over under a new identity."
            ));
            self.send_to_gateway(GatewayInput::StorageCorrupt);
            return;
        }
        super::STORE.error(format!("Failed to open the storage of a shard: {error}."));
        super::exit_with(storage_code(error));
    }

    fn send_to_gateway(&mut self, input: GatewayInput) {
        let outputs = self.gateway.handle(monotonic_now(), input);
        self.execute(outputs);
    }

    fn execute(&mut self, outputs: Vec<GatewayOutput>) {
        for output in outputs {
            match output {
                GatewayOutput::Node(output) => self.execute_node_output(output),
                GatewayOutput::Shard { shard, input } => self.send_to_shard(shard, input),
                GatewayOutput::StartShard(start) => {
                    let options = core_options(&self.options, &self.folders, start);
                    self.start_shard(options);
                }
                GatewayOutput::EraseShards => self.erase_shards(),
            }
        }
    }

    fn execute_node_output(&mut self, output: NodeOutput) {
        match output {
            NodeOutput::Send { link, frame } => self.send(link, frame),
            NodeOutput::Connect { link, address } => self.connector.connect(link, address),
            NodeOutput::Close { link } => {
                self.writers.remove(&link);
            }
            NodeOutput::OperatorReply { request, reply } => {
                if let Some(answer) = self.answers.remove(&request) {
                    // Sending fails if the operator has closed the connection.
                    let _ = answer.send(reply);
                }
            }
            NodeOutput::Event(event) => log_event(&event),
            NodeOutput::Fatal { code } => super::exit_with(code),
        }
    }

    /// Queues a frame. A link whose queue is full is closed, because its peer is too slow or
    /// disconnected; the peer continues with a new link.
    fn send(&mut self, link: LinkId, frame: Frame) {
        let Some(writer) = self.writers.get(&link) else {
            return;
        };
        if writer.try_send(frame).is_err() {
            self.writers.remove(&link);
        }
    }

    fn send_to_shard(&mut self, shard: ShardId, input: ShardInput) {
        if let Some(thread) = self.shards.get(&shard) {
            thread.send(input);
        }
    }

    fn start_shard(&mut self, options: ShardCoreOptions) {
        self.last_generation += 1;
        let shard = options.shard;
        let started = ShardThread::start(options, self.last_generation, self.queue.clone());
        match started {
            Ok(thread) => {
                self.shards.insert(shard, thread);
            }
            Err(error) => {
                super::CONTROL.error(format!("Failed to start the thread of a shard: {error}."));
                super::exit_with(ResultCode::StartFailed);
            }
        }
    }

    fn erase_shards(&mut self) {
        // Dropping the threads stops and joins them, so that none still writes to the folders.
        self.shards.clear();
        for shard in (0..=folders::HIGHEST_SHARD).map(ShardId) {
            let mut disk = (self.folders)(&shard_folder(shard));
            if let Err(error) = folders::clear(disk.as_mut()) {
                super::exit_with(storage_code(&error));
            }
        }
    }
}
