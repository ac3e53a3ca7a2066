//! Simulated network: TCP connections between machines that delay, stall, reset and are cut.

pub mod cut_table;
pub mod link;
pub mod links;
pub mod packet;
pub mod process_id;

pub use cut_table::CutTable;
pub use link::{Direction, Link, LinkNumber, LinkState};
pub use links::Links;
pub use packet::{HttpPacket, Packet};
pub use process_id::{MachineId, ProcessId};
