//! Control node: shard replicas, sessions, feed, operator interface.
