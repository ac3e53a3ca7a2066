//! The node's file on its disk, and the random numbers that identities are made of.

use millford_api::state::ControlMember;
use millford_core::{NodeId, ShardId, ShardLayout};
use millford_storage::{Disk, StorageError};
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};

use super::node_file::NodeFile;

/// Where the node's identity comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdentityOrigin {
    /// Read from the disk.
    Stored,
    /// Minted, because the disk held none.
    Minted,
}

/// Owner of the node's file. Every change is durable when the method returns without an error.
pub(super) struct NodeStore {
    random: StdRng,
    disk: Box<dyn Disk>,
    file: NodeFile,
}

impl NodeStore {
    /// Reads the file, or mints an identity, which is not stored yet.
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
            None => IdentityOrigin::Minted,
        };
        let file = loaded.unwrap_or_else(|| NodeFile {
            node_id: mint(&mut random),
            ..NodeFile::default()
        });
        Ok((Self { random, disk, file }, origin))
    }

    /// The file as last stored, or as to be stored next.
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

    /// A random number that is not zero.
    pub(super) fn mint(&mut self) -> u64 {
        mint(&mut self.random)
    }

    /// Stores the file as it is.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn save(&mut self) -> Result<(), StorageError> {
        self.file.store(self.disk.as_mut())
    }

    /// The known control nodes changed.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn set_members(&mut self, members: Vec<ControlMember>) -> Result<(), StorageError> {
        self.file.members = members;
        self.save()
    }

    /// This node holds a replica of the shard from now on.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn add_shard(&mut self, shard: ShardId) -> Result<(), StorageError> {
        self.file.shards.push(shard.0);
        self.save()
    }

    /// The cluster removed this identity of another node.
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

    /// The node joins a formed cluster without replicas.
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

    /// The node is one of those that form the cluster.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn form(&mut self, file: NodeFile) -> Result<(), StorageError> {
        self.file = file;
        self.save()
    }

    /// The node goes on without replicas under a new identity, in the same cluster.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub(super) fn start_over(&mut self, members: Vec<ControlMember>) -> Result<(), StorageError> {
        let former = self.file.node_id;
        self.file.removed.push(former);
        self.file.node_id = self.mint();
        self.file.shards.clear();
        self.file.founders.clear();
        self.file.members = members;
        self.save()
    }

    /// Whether the cluster was formed of this node, among others.
    pub(super) fn is_founder(&self, node: NodeId) -> bool {
        let mut founders = self.file.founders.iter();
        founders.any(|founder| founder.node_id == node.0)
    }
}

fn mint(random: &mut StdRng) -> u64 {
    random.next_u64().max(1)
}
