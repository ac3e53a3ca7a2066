//! A complete control node as one synchronous state machine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use millford_core::{MonotonicTime, NodeId, ShardId, ShardLayout};
use millford_storage::{Disk, StorageError};

use crate::gateway::{Gateway, GatewayInput, GatewayOutput, ShardStart};
use crate::node_input::NodeInput;
use crate::node_output::NodeOutput;
use crate::options::ControlOptions;
use crate::shard::{ShardCore, ShardCoreOptions, ShardInput, ShardOutput};
use crate::storage_code::storage_code;

/// Opens the data folder with the given name.
pub type FolderOpener = Arc<dyn Fn(&str) -> Box<dyn Disk> + Send + Sync>;

/// Name of the folder for the node's own file.
pub const NODE_FOLDER: &str = "node";

/// Name of the folder for a shard's log and snapshots.
#[must_use]
pub fn shard_folder(shard: ShardId) -> String {
    format!("shard-{shard}")
}

/// Options of a shard's core on this node.
pub(crate) fn core_options(
    node: &ControlOptions,
    folders: &FolderOpener,
    start: ShardStart,
) -> ShardCoreOptions {
    let shard = start.shard;
    let folders = folders.clone();
    ShardCoreOptions {
        shard,
        identity: start.identity,
        voters: start.voters,
        layout: ShardLayout::new(start.data_shards),
        seed: node.seed,
        voters_per_shard: node.voters_per_shard,
        replace_after: node.replace_after,
        disk: Arc::new(move || folders(&shard_folder(shard))),
    }
}

/// The gateway and the shards' cores, run synchronously.
///
/// The simulator and the tests use this; the daemon runs the same parts on threads.
pub struct ControlNode {
    options: ControlOptions,
    folders: FolderOpener,
    gateway: Gateway,
    cores: BTreeMap<ShardId, ShardCore>,
    /// Shards with inputs that are not flushed yet; present only while a batch is handled.
    batch: Option<BTreeSet<ShardId>>,
    queue: VecDeque<GatewayOutput>,
    outputs: Vec<NodeOutput>,
}

impl ControlNode {
    /// Opens a node on its folders. Its first outputs are returned with those of the first input.
    ///
    /// # Errors
    /// The node's folder cannot be read or written.
    pub fn open(
        options: ControlOptions,
        disks: impl Fn(&str) -> Box<dyn Disk> + Send + Sync + 'static,
        now: MonotonicTime,
    ) -> Result<Self, StorageError> {
        let folders: FolderOpener = Arc::new(disks);
        let (gateway, first) = Gateway::open(options.clone(), folders(NODE_FOLDER), now)?;
        let mut node = Self {
            options,
            folders,
            gateway,
            cores: BTreeMap::new(),
            batch: None,
            queue: first.into(),
            outputs: Vec::new(),
        };
        node.run_queue(now);
        Ok(node)
    }

    /// Handles one input and returns the outputs, in order.
    pub fn handle(&mut self, now: MonotonicTime, input: NodeInput) -> Vec<NodeOutput> {
        self.handle_input(now, input);
        std::mem::take(&mut self.outputs)
    }

    /// Handles several inputs with a single flush of each shard, as the shards' threads of the
    /// daemon do with inputs that waited while the disk was busy.
    pub fn handle_batch(&mut self, now: MonotonicTime, inputs: Vec<NodeInput>) -> Vec<NodeOutput> {
        self.batch = Some(BTreeSet::new());
        for input in inputs {
            self.handle_input(now, input);
        }
        for shard in self.batch.take().unwrap_or_default() {
            self.flush_core(now, shard);
        }
        self.run_queue(now);
        std::mem::take(&mut self.outputs)
    }

    /// Identity of the node.
    #[must_use]
    pub fn identity(&self) -> NodeId {
        self.gateway.identity()
    }

    /// The gateway, for inspection.
    #[must_use]
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// The core of a shard, for inspection; none if this node holds no replica of it.
    #[must_use]
    pub fn core(&self, shard: ShardId) -> Option<&ShardCore> {
        self.cores.get(&shard)
    }

    fn handle_input(&mut self, now: MonotonicTime, input: NodeInput) {
        if matches!(input, NodeInput::Tick) {
            self.tick_cores(now);
        }
        self.send_to_gateway(now, GatewayInput::Node(input));
        self.run_queue(now);
    }

    fn tick_cores(&mut self, now: MonotonicTime) {
        let shards: Vec<ShardId> = self.cores.keys().copied().collect();
        for shard in shards {
            self.send_to_core(now, shard, ShardInput::Tick);
        }
    }

    fn run_queue(&mut self, now: MonotonicTime) {
        while let Some(output) = self.queue.pop_front() {
            match output {
                GatewayOutput::Node(output) => self.outputs.push(output),
                GatewayOutput::Shard { shard, input } => self.send_to_core(now, shard, input),
                GatewayOutput::StartShard(start) => self.start_shard(now, start),
                GatewayOutput::EraseShards => self.erase_shards(),
            }
        }
    }

    fn send_to_gateway(&mut self, now: MonotonicTime, input: GatewayInput) {
        let outputs = self.gateway.handle(now, input);
        self.queue.extend(outputs);
    }

    fn send_to_core(&mut self, now: MonotonicTime, shard: ShardId, input: ShardInput) {
        let Some(core) = self.cores.get_mut(&shard) else {
            return;
        };
        core.handle(now, input);
        match &mut self.batch {
            Some(pending_flush) => {
                pending_flush.insert(shard);
            }
            None => self.flush_core(now, shard),
        }
    }

    fn flush_core(&mut self, now: MonotonicTime, shard: ShardId) {
        let outputs = self.cores.get_mut(&shard).map(|core| core.flush(now));
        for output in outputs.into_iter().flatten() {
            self.handle_core_output(now, shard, output);
        }
    }

    fn handle_core_output(&mut self, now: MonotonicTime, shard: ShardId, output: ShardOutput) {
        self.send_to_gateway(now, GatewayInput::Shard { shard, output });
    }

    fn start_shard(&mut self, now: MonotonicTime, start: ShardStart) {
        let shard = start.shard;
        let options = core_options(&self.options, &self.folders, start);
        match ShardCore::open(options, now) {
            Ok(core) => {
                self.cores.insert(shard, core);
            }
            Err(StorageError::Corrupt { .. }) => {
                self.send_to_gateway(now, GatewayInput::StorageCorrupt);
            }
            Err(error) => {
                let code = storage_code(&error);
                self.outputs.push(NodeOutput::Fatal { code });
            }
        }
    }

    fn erase_shards(&mut self) {
        self.cores.clear();
        // The number of shards is unknown if the node's file was lost.
        let highest = crate::folders::HIGHEST_SHARD;
        for shard in (0..=highest).map(ShardId) {
            let mut disk = (self.folders)(&shard_folder(shard));
            if let Err(error) = crate::folders::clear(disk.as_mut()) {
                let code = storage_code(&error);
                self.outputs.push(NodeOutput::Fatal { code });
                return;
            }
        }
    }
}
