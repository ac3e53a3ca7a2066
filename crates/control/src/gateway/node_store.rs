//! Owner of the node's file, and of the random numbers for identities.

use millford_api::state::ControlMember;
use millford_core::{NodeId, ShardId, ShardLayout};
use millford_storage::{Disk, StorageError};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

use super::node_file::NodeFile;

/// Origin of the node's identity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdentityOrigin {
    /// Read from the disk.
    Stored,
    /// Newly created, because the disk held no valid one.
    Created,
}

/// Owns the node's file. Every change is durable when the method returns without an error.
pub(super) struct NodeStore {
    random: StdRng,
    disk: Box<dyn Disk>,
    file: NodeFile,
}

impl NodeStore {
    /// Reads the file. Without a valid one, creates an identity, which is not stored yet.
    ///
    /// # Errors
    /// The disk cannot be read.
    pub(super) fn open(
        disk: Box<dyn Disk>,
        seed: u64,
    ) -> Result<(Self, IdentityOrigin), StorageError> {
        let mut random = StdRng::seed_from_u64(seed);
        let loaded = NodeFile::load(disk.as_ref())?;
        let origin = match loaded {
            Some(_) => IdentityOrigin::Stored,
            None => IdentityOrigin::Created,
        };
        let file = loaded.unwrap_or_else(|| NodeFile {
            node_id: random_id(&mut random),
            ..NodeFile::default()
        });
        Ok((Self { random, disk, file }, origin))
    }

    /// Content of the file. After [`Self::open`] created an identity, it is not stored before the
    /// first [`Self::save`].
    pub(super) fn file(&self) -> &NodeFile {
        &self.file
    }

    /// Identity of this node.
    pub(super) fn identity(&self) -> NodeId {
        self.file.identity()
    }

    /// Whether the node belongs to a cluster.
    pub(super) fn is_formed(&self) -> bool {
        self.file.is_formed()
    }

    /// Layout of the cluster's shards.
    pub(super) fn layout(&self) -> ShardLayout {
        ShardLayout::new(self.file.data_shards)
    }

    /// A random non-zero number for a new identity.
    pub(super) fn random_id(&mut self) -> u64 {
        random_id(&mut self.random)
    }

    /// Stores the current content.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn save(&mut self) -> Result<(), StorageError> {
        self.file.store(self.disk.as_mut())
    }

    /// Replaces the known control nodes.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn set_members(&mut self, members: Vec<ControlMember>) -> Result<(), StorageError> {
        self.file.members = members;
        self.save()
    }

    /// Adds a shard whose replica this node holds.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn add_shard(&mut self, shard: ShardId) -> Result<(), StorageError> {
        self.file.shards.push(shard.0);
        self.save()
    }

    /// Adds an identity that the cluster removed.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn add_removed(&mut self, node: NodeId) -> Result<(), StorageError> {
        if self.file.removed.contains(&node.0) {
            return Ok(());
        }
        self.file.removed.push(node.0);
        self.save()
    }

    /// Records that this node joined a formed cluster as a standby, without replicas.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn join(
        &mut self,
        cluster_id: u64,
        data_shards: u32,
        members: Vec<ControlMember>,
    ) -> Result<(), StorageError> {
        self.file.cluster_id = cluster_id;
        self.file.data_shards = data_shards;
        self.file.members = members;
        self.save()
    }

    /// Records the cluster that this node has formed together with others.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn form(&mut self, file: NodeFile) -> Result<(), StorageError> {
        self.file = file;
        self.save()
    }

    /// Gives the node a new identity without replicas, in the same cluster.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn start_over(&mut self, members: Vec<ControlMember>) -> Result<(), StorageError> {
        let former = self.file.node_id;
        self.file.removed.push(former);
        self.file.node_id = self.random_id();
        self.file.shards.clear();
        self.file.founders.clear();
        self.file.members = members;
        self.save()
    }

    /// Whether the node is one of those that formed the cluster.
    pub(super) fn is_founder(&self, node: NodeId) -> bool {
        let mut founders = self.file.founders.iter();
        founders.any(|founder| founder.node_id == node.0)
    }
}

fn random_id(random: &mut StdRng) -> u64 {
    random.next_u64().max(1)
}
