//! Identifiers, time, result codes, shard layout and key hashing, shared by all crates of millford.

pub mod backoff;
pub mod identifiers;
pub mod key_hash;
pub mod result_code;
pub mod run_state;
pub mod shard;
pub mod time;

pub use identifiers::{NodeId, ShardId};
pub use key_hash::hash_tenant_key;
pub use result_code::ResultCode;
pub use run_state::RunState;
pub use shard::{ShardLayout, service_key, session_key, tenant_key};
pub use time::{Duration, MonotonicTime};
