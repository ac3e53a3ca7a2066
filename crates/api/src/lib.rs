//! Protocol types of millford, their JSON forms and the check of the operators' document.
//!
//! The types under `generated` come from the files in `proto`; `tools/generate` writes them and
//! they are committed, so that a build needs no generator.

pub mod http_status;
pub mod json;
pub mod operator;

/// The operators' document.
#[allow(clippy::all)]
pub mod config {
    include!("generated/millford.config.rs");
}

/// Public state of the control plane, as the feed carries it.
#[allow(clippy::all)]
pub mod state {
    include!("generated/millford.state.rs");
}

/// Messages between the replicas of one shard.
#[allow(clippy::all)]
pub mod replication {
    include!("generated/millford.replication.rs");
}

/// Replicated commands, their results and the snapshots of the state machines.
#[allow(clippy::all)]
pub mod command {
    include!("generated/millford.command.rs");
}

/// Frames between control nodes and from agents to control nodes.
#[allow(clippy::all)]
pub mod internal {
    include!("generated/millford.internal.rs");
}

/// Frames between an agent and its proxy.
#[allow(clippy::all)]
pub mod local {
    include!("generated/millford.local.rs");
}

/// Datagrams between proxies.
#[allow(clippy::all)]
pub mod exchange {
    include!("generated/millford.exchange.rs");
}
