//! State of a simulated control node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use millford_control::{ControlNode, LinkId};

use crate::disk::DiskImage;
use crate::network::LinkNumber;
use crate::world::link_names::LinkNames;
use crate::world::process::ProcessState;

/// A control node with the disk of its machine.
pub struct ControlProcess {
    /// Incarnation, clock and queued inputs.
    pub process: ProcessState,
    /// Disk of the machine; it outlives the process.
    pub disk_image: Arc<Mutex<DiskImage>>,
    /// The node's logic; absent while the process does not run.
    pub node: Option<ControlNode>,
    /// Connections, by the node's own ids.
    pub links: LinkNames<LinkId>,
    /// Number of connections that this incarnation accepted; source of their ids.
    last_accepted: u64,
    /// Whether the machine is lost for good.
    pub lost: bool,
    /// Seed addresses from the node's settings.
    pub seeds: Vec<String>,
}

impl ControlProcess {
    /// Creates a control node that has not started, with an empty disk and these seed addresses.
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

    /// Locks the disk.
    pub fn disk(&self) -> MutexGuard<'_, DiskImage> {
        self.disk_image
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Assigns an id to a connection that the node accepted.
    pub fn accept_link(&mut self, link: LinkNumber) {
        self.last_accepted += 1;
        self.links.insert(link, LinkId(self.last_accepted));
    }

    /// Drops the node's logic and its connections; the disk is kept.
    pub fn forget_incarnation(&mut self) {
        self.node = None;
        self.links.clear();
        self.last_accepted = 0;
    }
}
