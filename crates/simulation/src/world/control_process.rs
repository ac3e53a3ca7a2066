//! A control node with its machine's disk.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_control::{ControlNode, LinkId};

use crate::disk::DiskImage;
use crate::network::LinkNumber;
use crate::world::process::ProcessState;

/// A control node.
pub struct ControlProcess {
    /// The process.
    pub process: ProcessState,
    /// The disk; it outlives the process.
    pub disk_image: Arc<Mutex<DiskImage>>,
    /// The node while the process runs.
    pub node: Option<ControlNode>,
    /// The node's names of the connections.
    pub ids: BTreeMap<LinkNumber, LinkId>,
    /// Connections by the node's names.
    pub numbers: BTreeMap<LinkId, LinkNumber>,
    /// Number of the last accepted connection.
    pub accepted: u64,
    /// Whether the machine is lost for good.
    pub lost: bool,
    /// Control nodes that its settings name.
    pub seeds: Vec<String>,
}

impl ControlProcess {
    /// A control node with an empty disk, whose settings name these control nodes.
    #[must_use]
    pub fn new(process: ProcessState, seeds: Vec<String>) -> Self {
        Self {
            process,
            disk_image: Arc::default(),
            node: None,
            ids: BTreeMap::new(),
            numbers: BTreeMap::new(),
            accepted: 0,
            lost: false,
            seeds,
        }
    }

    /// The disk.
    pub fn disk(&self) -> MutexGuard<'_, DiskImage> {
        self.disk_image
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Names a connection.
    pub fn name_link(&mut self, number: LinkNumber, id: LinkId) {
        self.ids.insert(number, id);
        self.numbers.insert(id, number);
    }

    /// Forgets a connection.
    pub fn forget_link(&mut self, number: LinkNumber) -> Option<LinkId> {
        let id = self.ids.remove(&number)?;
        self.numbers.remove(&id);
        Some(id)
    }

    /// Forgets the node and its connections.
    pub fn forget_incarnation(&mut self) {
        self.node = None;
        self.ids.clear();
        self.numbers.clear();
        self.accepted = 0;
    }
}
