//! The daemon: threads, sockets, files and HTTP around the node's logic.
//!
//! Threads: one for the gateway, one for each shard (it blocks in fsync), and tokio's for sockets
//! and HTTP. They talk through queues only.

pub mod connections;
pub mod event;
pub mod event_log;
pub mod gateway_thread;
pub mod operator_http;
pub mod registry_watch;
pub mod run;
pub mod settings;
pub mod shard_thread;
pub mod shared;

use millford_core::ResultCode;
use millford_settings::PartLog;

pub use operator_http::OperatorPort;
pub use run::{ControlAdapters, OperatorServer, run, run_with};
pub use settings::ControlSettings;

/// Log of the process itself.
pub const CONTROL: PartLog = PartLog::new("CONTROL");
/// Log of the shards.
pub const SHARD: PartLog = PartLog::new("SHARD");
/// Log of membership.
pub const MEMBERS: PartLog = PartLog::new("MEMBERS");
/// Log of the placement role.
pub const PLACEMENT: PartLog = PartLog::new("PLACEMENT");
/// Log of the registry watch.
pub const REGISTRY: PartLog = PartLog::new("REGISTRY");
/// Log of the storage.
pub const STORE: PartLog = PartLog::new("STORE");

/// Exit status of a process that cannot go on.
const FATAL_EXIT_STATUS: i32 = 3;

/// Ends the process: it cannot keep what it would guarantee.
fn exit_with(code: ResultCode) -> ! {
    CONTROL.error(format!("Exiting: {code}"));
    std::process::exit(FATAL_EXIT_STATUS);
}
