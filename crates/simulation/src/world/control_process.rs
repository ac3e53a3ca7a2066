//! A control node with its machine's disk.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_control::{ControlNode, LinkId};

use crate::disk::DiskImage;
use crate::network::LinkNumber;
use crate::world::link_names::LinkNames;
use crate::world::process::ProcessState;

/// A control node.
pub struct ControlProcess {
    /// The process.
    pub process: ProcessState,
    /// The disk; it outlives the process.
    pub disk_image: Arc<Mutex<DiskImage>>,
    /// The node while the process runs.
    pub node: Option<ControlNode>,
    /// The node's names of its connections.
    pub links: LinkNames<LinkId>,
    /// Number of the last accepted connection.
    last_accepted: u64,
    /// Whether the machine is lost for good.
    pub lost: bool,
    /// Addresses of control nodes that its settings name.
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
            links: LinkNames::default(),
            last_accepted: 0,
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

    /// Names a connection that the node accepted.
    pub fn accept_link(&mut self, link: LinkNumber) {
        self.last_accepted += 1;
        self.links.insert(link, LinkId(self.last_accepted));
    }

    /// Forgets the node and its connections.
    pub fn forget_incarnation(&mut self) {
        self.node = None;
        self.links.clear();
        self.last_accepted = 0;
    }
}
