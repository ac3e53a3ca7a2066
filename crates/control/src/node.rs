//! A complete control node as one synchronous machine.

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

/// Opens the folder with this name.
pub type FolderOpener = Arc<dyn Fn(&str) -> Box<dyn Disk> + Send + Sync>;

/// Name of the node's own folder.
pub const NODE_FOLDER: &str = "node";

/// Name of a shard's folder.
#[must_use]
pub fn shard_folder(shard: ShardId) -> String {
    format!("shard-{shard}")
}

/// What a shard's core is opened with on this node.
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

/// Gateway and shard cores, composed synchronously.
///
/// The daemon runs the same parts on threads of their own; the simulator and the tests use this.
pub struct ControlNode {
    options: ControlOptions,
    folders: FolderOpener,
    gateway: Gateway,
    cores: BTreeMap<ShardId, ShardCore>,
    /// Shards with inputs that are not flushed yet, while a batch is taken.
    batch: Option<BTreeSet<ShardId>>,
    queue: VecDeque<GatewayOutput>,
    outputs: Vec<NodeOutput>,
}

impl ControlNode {
    /// Opens a node on its folders. Its first outputs come with the first input.
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

    /// Takes one input and returns what is to be done.
    pub fn handle(&mut self, now: MonotonicTime, input: NodeInput) -> Vec<NodeOutput> {
        self.take_input(now, input);
        std::mem::take(&mut self.outputs)
    }

    /// Takes inputs that waited while the disk was busy, all with one flush of each shard, as the
    /// shards' threads of the daemon do.
    pub fn handle_batch(&mut self, now: MonotonicTime, inputs: Vec<NodeInput>) -> Vec<NodeOutput> {
        self.batch = Some(BTreeSet::new());
        for input in inputs {
            self.take_input(now, input);
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

    /// The node-level half.
    #[must_use]
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// The core of a shard, if this node holds a replica.
    #[must_use]
    pub fn core(&self, shard: ShardId) -> Option<&ShardCore> {
        self.cores.get(&shard)
    }

    fn take_input(&mut self, now: MonotonicTime, input: NodeInput) {
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
                GatewayOutput::StartShard(start) => self.start(now, start),
                GatewayOutput::EraseShards => self.erase(),
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
            self.take_from_core(now, shard, output);
        }
    }

    fn take_from_core(&mut self, now: MonotonicTime, shard: ShardId, output: ShardOutput) {
        self.send_to_gateway(now, GatewayInput::Shard { shard, output });
    }

    fn start(&mut self, now: MonotonicTime, start: ShardStart) {
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

    fn erase(&mut self) {
        self.cores.clear();
        // A node whose file is lost does not know the number of its shards any more.
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
