//! The daemon: runs the node's logic with threads, sockets, files and HTTP.
//!
//! There is one thread for the gateway, one for each shard (it blocks in fsync), and tokio's
//! threads for sockets and HTTP. They communicate only through queues.

pub mod connections;
pub mod event;
pub mod event_log;
pub mod gateway_thread;
pub mod link_bounds;
pub mod operator_http;
pub mod registry_watch;
pub mod run;
mod seed_watch;
pub mod settings;
pub mod shard_thread;
pub mod shared;

use millford_core::ResultCode;
use millford_settings::PartLog;

pub use operator_http::{OperatorPort, read_operator_body, serve_operators};
pub use run::{ControlAdapters, OperatorServer, run, run_with};
pub use settings::ControlSettings;

/// Log target of the process itself.
pub const CONTROL: PartLog = PartLog::new("CONTROL");
/// Log target of the shards.
pub const SHARD: PartLog = PartLog::new("SHARD");
/// Log target of cluster membership.
pub const MEMBERS: PartLog = PartLog::new("MEMBERS");
/// Log target of links to other processes.
pub const LINK: PartLog = PartLog::new("LINK");
/// Log target of placement.
pub const PLACEMENT: PartLog = PartLog::new("PLACEMENT");
/// Log target of the registry watch.
pub const REGISTRY: PartLog = PartLog::new("REGISTRY");
/// Log target of the storage.
pub const STORE: PartLog = PartLog::new("STORE");

/// Exit status after a fatal error.
const FATAL_EXIT_STATUS: i32 = 3;

/// Exits the process, which could not keep its guarantees after this error.
fn exit_with(code: ResultCode) -> ! {
    CONTROL.error(format!("Exiting: {code}"));
    std::process::exit(FATAL_EXIT_STATUS);
}
