//! The file in which a control node stores its identity and its view of the cluster.

use millford_api::state::ControlMember;
use millford_core::NodeId;
use millford_storage::{Disk, StorageError};
use prost::Message;

/// Name of the file in the node's folder.
const NODE_FILE: &str = "node.bin";

/// Length of the checksum before the message, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// Content of the node's file: identity, cluster and known control nodes.
#[derive(Clone, PartialEq, Message)]
pub struct NodeFile {
    /// Identity of this node, created on the empty disk.
    #[prost(uint64, tag = "1")]
    pub node_id: u64,
    /// The cluster that the node belongs to; 0 before it formed or joined one.
    #[prost(uint64, tag = "2")]
    pub cluster_id: u64,
    /// Number of data shards of the cluster.
    #[prost(uint32, tag = "3")]
    pub data_shards: u32,
    /// Known control nodes with their addresses. They take the place of the seeds, which are only
    /// the first addresses to contact.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<ControlMember>,
    /// The nodes that formed the cluster, if this node is one of them.
    #[prost(message, repeated, tag = "5")]
    pub founders: Vec<ControlMember>,
    /// Identities that the cluster has permanently removed.
    #[prost(uint64, repeated, tag = "6")]
    pub removed: Vec<u64>,
    /// Shards whose replica this node holds.
    #[prost(uint32, repeated, tag = "7")]
    pub shards: Vec<u32>,
}

impl NodeFile {
    /// Reads the file; none if it is missing or its checksum is wrong.
    ///
    /// # Errors
    /// The disk cannot be read.
    pub fn load(disk: &dyn Disk) -> Result<Option<Self>, StorageError> {
        let Some(bytes) = disk.read(NODE_FILE)? else {
            return Ok(None);
        };
        // The file is replaced atomically, so a wrong checksum means corruption, not a torn write.
        // The identity is lost with it: the node starts over as if the disk were empty.
        Ok(decode(&bytes))
    }

    /// Writes the file; durable on return.
    ///
    /// # Errors
    /// The disk cannot be written.
    pub fn store(&self, disk: &mut dyn Disk) -> Result<(), StorageError> {
        let message = self.encode_to_vec();
        let mut bytes = crc32c::crc32c(&message).to_be_bytes().to_vec();
        bytes.extend_from_slice(&message);
        disk.replace(NODE_FILE, &bytes)
    }

    /// Identity of this node.
    pub fn identity(&self) -> NodeId {
        NodeId(self.node_id)
    }

    /// Whether the node belongs to a cluster.
    pub fn is_formed(&self) -> bool {
        self.cluster_id != 0
    }
}

fn decode(bytes: &[u8]) -> Option<NodeFile> {
    let (checksum, message) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    let expected = crc32c::crc32c(message).to_be_bytes();
    if checksum != expected {
        return None;
    }
    NodeFile::decode(message).ok()
}
