//! State machines of the shards: configuration orders, claims, sessions, catalogue, quota.
