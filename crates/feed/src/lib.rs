//! Public state of the shards as a snapshot and a stream of changes from an offset.
