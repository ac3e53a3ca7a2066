//! The replica group of one shard: election, log replication, confirmed reads, membership.
