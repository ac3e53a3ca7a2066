//! Simulated network: TCP connections between machines, with delays, resets and partitions.

pub mod link;
pub mod links;
pub mod packet;
pub mod partition_table;
pub mod process_id;

pub use link::{Direction, Link, LinkEnd, LinkNumber, LinkState};
pub use links::Links;
pub use packet::{HttpPacket, Packet};
pub use partition_table::PartitionTable;
pub use process_id::{MachineId, ProcessId};
