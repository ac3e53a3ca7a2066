//! Samples of the messages of the package `millford.internal`.

use millford_api::internal;

use crate::sample::{Sample, Samples, Values};

/// Adds a sample of each message. A message with a `oneof` has one sample for each of its kinds.
pub(crate) fn add(samples: &mut Samples) {
    samples.add("millford.internal.Frame.hello", |values| internal::Frame {
        body: Some(internal::frame::Body::Hello(values.next())),
    });
    samples.add("millford.internal.Frame.hello_reply", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::HelloReply(values.next())),
        }
    });
    samples.add("millford.internal.Frame.form_cluster", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::FormCluster(values.next())),
        }
    });
    samples.add("millford.internal.Frame.replication", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::Replication(values.next())),
        }
    });
    samples.add("millford.internal.Frame.shard_request", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::ShardRequest(values.next())),
        }
    });
    samples.add("millford.internal.Frame.shard_reply", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::ShardReply(values.next())),
        }
    });
    samples.add("millford.internal.Frame.subscribe", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::Subscribe(values.next())),
        }
    });
    samples.add("millford.internal.Frame.feed", |values| internal::Frame {
        body: Some(internal::frame::Body::Feed(values.next())),
    });
    samples.add("millford.internal.Frame.heartbeat", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::Heartbeat(values.next())),
        }
    });
    samples.add("millford.internal.Frame.heartbeat_reply", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::HeartbeatReply(values.next())),
        }
    });
    samples.add("millford.internal.Frame.load_report", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::LoadReport(values.next())),
        }
    });
    samples.add("millford.internal.Frame.quota_request", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::QuotaRequest(values.next())),
        }
    });
    samples.add("millford.internal.Frame.quota_reply", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::QuotaReply(values.next())),
        }
    });
    samples.add("millford.internal.Frame.quota_recall", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::QuotaRecall(values.next())),
        }
    });
    samples.add("millford.internal.Frame.load_picture", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::LoadSnapshot(values.next())),
        }
    });
    samples.add("millford.internal.Frame.relayed_quota_request", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::RelayedQuotaRequest(values.next())),
        }
    });
    samples.add("millford.internal.Frame.relayed_quota_reply", |values| {
        internal::Frame {
            body: Some(internal::frame::Body::RelayedQuotaReply(values.next())),
        }
    });
    samples.add("millford.internal.Hello", internal::Hello::sample);
    samples.add("millford.internal.HelloReply", internal::HelloReply::sample);
    samples.add(
        "millford.internal.FormCluster",
        internal::FormCluster::sample,
    );
    samples.add("millford.internal.ShardRequest.propose", |values| {
        internal::ShardRequest {
            shard: values.next(),
            request_id: values.next(),
            kind: Some(internal::shard_request::Kind::Propose(values.next())),
            hops: values.next(),
        }
    });
    samples.add("millford.internal.ShardRequest.read_state", |values| {
        internal::ShardRequest {
            shard: values.next(),
            request_id: values.next(),
            kind: Some(internal::shard_request::Kind::ReadState(values.next())),
            hops: values.next(),
        }
    });
    samples.add("millford.internal.ShardRequest.read_index", |values| {
        internal::ShardRequest {
            shard: values.next(),
            request_id: values.next(),
            kind: Some(internal::shard_request::Kind::ReadIndex(values.next())),
            hops: values.next(),
        }
    });
    samples.add("millford.internal.ShardRequest.touch_sessions", |values| {
        internal::ShardRequest {
            shard: values.next(),
            request_id: values.next(),
            kind: Some(internal::shard_request::Kind::RenewSessions(values.next())),
            hops: values.next(),
        }
    });
    samples.add("millford.internal.ShardRequest.status", |values| {
        internal::ShardRequest {
            shard: values.next(),
            request_id: values.next(),
            kind: Some(internal::shard_request::Kind::Status(values.next())),
            hops: values.next(),
        }
    });
    samples.add("millford.internal.ReadState", internal::ReadState::sample);
    samples.add("millford.internal.ReadIndex", internal::ReadIndex::sample);
    samples.add(
        "millford.internal.TouchSessions",
        internal::RenewSessions::sample,
    );
    samples.add(
        "millford.internal.SessionTouch",
        internal::SessionRenewal::sample,
    );
    samples.add(
        "millford.internal.ShardStatusRequest",
        internal::ShardStatusRequest::sample,
    );
    samples.add("millford.internal.ShardReply.result", |values| {
        internal::ShardReply {
            shard: values.next(),
            request_id: values.next(),
            code: values.next(),
            leader_hint: values.next(),
            kind: Some(internal::shard_reply::Kind::Result(values.next())),
        }
    });
    samples.add("millford.internal.ShardReply.state", |values| {
        internal::ShardReply {
            shard: values.next(),
            request_id: values.next(),
            code: values.next(),
            leader_hint: values.next(),
            kind: Some(internal::shard_reply::Kind::State(values.next())),
        }
    });
    samples.add("millford.internal.ShardReply.read_index", |values| {
        internal::ShardReply {
            shard: values.next(),
            request_id: values.next(),
            code: values.next(),
            leader_hint: values.next(),
            kind: Some(internal::shard_reply::Kind::ReadIndex(values.next())),
        }
    });
    samples.add("millford.internal.ShardReply.touched", |values| {
        internal::ShardReply {
            shard: values.next(),
            request_id: values.next(),
            code: values.next(),
            leader_hint: values.next(),
            kind: Some(internal::shard_reply::Kind::RenewedSessions(values.next())),
        }
    });
    samples.add("millford.internal.ShardReply.status", |values| {
        internal::ShardReply {
            shard: values.next(),
            request_id: values.next(),
            code: values.next(),
            leader_hint: values.next(),
            kind: Some(internal::shard_reply::Kind::Status(values.next())),
        }
    });
    samples.add(
        "millford.internal.TouchReply",
        internal::RenewSessionsReply::sample,
    );
    samples.add(
        "millford.internal.ShardStatus",
        internal::ShardStatus::sample,
    );
    samples.add(
        "millford.internal.SessionStatus",
        internal::SessionStatus::sample,
    );
    samples.add(
        "millford.internal.StateSnapshot",
        internal::StateSnapshot::sample,
    );
    samples.add("millford.internal.Subscribe", internal::Subscribe::sample);
    samples.add("millford.internal.FeedMessage.snapshot", |values| {
        internal::FeedMessage {
            shard: values.next(),
            kind: Some(internal::feed_message::Kind::Snapshot(values.next())),
        }
    });
    samples.add("millford.internal.FeedMessage.change", |values| {
        internal::FeedMessage {
            shard: values.next(),
            kind: Some(internal::feed_message::Kind::Change(values.next())),
        }
    });
    samples.add("millford.internal.FeedMessage.progress", |values| {
        internal::FeedMessage {
            shard: values.next(),
            kind: Some(internal::feed_message::Kind::Progress(values.next())),
        }
    });
    samples.add("millford.internal.FeedMessage.stale", |values| {
        internal::FeedMessage {
            shard: values.next(),
            kind: Some(internal::feed_message::Kind::Stale(values.next())),
        }
    });
    samples.add("millford.internal.FeedMessage.packed_snapshot", |values| {
        internal::FeedMessage {
            shard: values.next(),
            kind: Some(internal::feed_message::Kind::PackedSnapshot(values.next())),
        }
    });
    samples.add(
        "millford.internal.StateChange",
        internal::StateChange::sample,
    );
    samples.add(
        "millford.internal.FeedProgress",
        internal::FeedProgress::sample,
    );
    samples.add("millford.internal.FeedStale", internal::FeedStale::sample);
    samples.add("millford.internal.Heartbeat", internal::Heartbeat::sample);
    samples.add(
        "millford.internal.HeartbeatReply",
        internal::HeartbeatReply::sample,
    );
    samples.add("millford.internal.LoadReport", internal::LoadReport::sample);
    samples.add(
        "millford.internal.ReplicaLoad",
        internal::ReplicaLoad::sample,
    );
    samples.add("millford.internal.CostSample", internal::CostSample::sample);
    samples.add(
        "millford.internal.LoadPicture",
        internal::LoadSnapshot::sample,
    );
    samples.add(
        "millford.internal.QuotaRequest",
        internal::QuotaRequest::sample,
    );
    samples.add(
        "millford.internal.QuotaAsk",
        internal::TenantQuotaRequest::sample,
    );
    samples.add("millford.internal.QuotaReply", internal::QuotaReply::sample);
    samples.add("millford.internal.QuotaGrant", internal::QuotaGrant::sample);
    samples.add(
        "millford.internal.QuotaRecall",
        internal::QuotaRecall::sample,
    );
    samples.add(
        "millford.internal.RelayedQuotaRequest",
        internal::RelayedQuotaRequest::sample,
    );
    samples.add(
        "millford.internal.RelayedQuotaReply",
        internal::RelayedQuotaReply::sample,
    );
}

impl Sample for internal::Frame {
    fn sample(values: &mut Values) -> Self {
        internal::Frame {
            body: Some(internal::frame::Body::Hello(values.next())),
        }
    }
}

impl Sample for internal::Hello {
    fn sample(values: &mut Values) -> Self {
        internal::Hello {
            sender: values.next(),
            cluster_id: values.next(),
            known: values.next(),
            // The bytes of the committed sample must not change.
            leaving: false,
        }
    }
}

impl Sample for internal::HelloReply {
    fn sample(values: &mut Values) -> Self {
        internal::HelloReply {
            sender: values.next(),
            cluster_id: values.next(),
            known: values.next(),
            data_shards: values.next(),
            removed: values.next(),
        }
    }
}

impl Sample for internal::FormCluster {
    fn sample(values: &mut Values) -> Self {
        internal::FormCluster {
            cluster_id: values.next(),
            members: values.next(),
            data_shards: values.next(),
        }
    }
}

impl Sample for internal::ShardRequest {
    fn sample(values: &mut Values) -> Self {
        internal::ShardRequest {
            shard: values.next(),
            request_id: values.next(),
            kind: Some(internal::shard_request::Kind::Propose(values.next())),
            hops: values.next(),
        }
    }
}

impl Sample for internal::ReadState {
    fn sample(values: &mut Values) -> Self {
        internal::ReadState {
            key_prefix: values.next(),
            with_source: values.next(),
        }
    }
}

impl Sample for internal::ReadIndex {
    fn sample(_values: &mut Values) -> Self {
        internal::ReadIndex {}
    }
}

impl Sample for internal::RenewSessions {
    fn sample(values: &mut Values) -> Self {
        internal::RenewSessions {
            renewals: values.next(),
        }
    }
}

impl Sample for internal::SessionRenewal {
    fn sample(values: &mut Values) -> Self {
        internal::SessionRenewal {
            member: values.next(),
            epoch: values.next(),
            applied_revision: values.next(),
        }
    }
}

impl Sample for internal::ShardStatusRequest {
    fn sample(_values: &mut Values) -> Self {
        internal::ShardStatusRequest {}
    }
}

impl Sample for internal::ShardReply {
    fn sample(values: &mut Values) -> Self {
        internal::ShardReply {
            shard: values.next(),
            request_id: values.next(),
            code: values.next(),
            leader_hint: values.next(),
            kind: Some(internal::shard_reply::Kind::Result(values.next())),
        }
    }
}

impl Sample for internal::RenewSessionsReply {
    fn sample(values: &mut Values) -> Self {
        internal::RenewSessionsReply {
            closed_members: values.next(),
        }
    }
}

impl Sample for internal::ShardStatus {
    fn sample(values: &mut Values) -> Self {
        internal::ShardStatus {
            shard: values.next(),
            leader: values.next(),
            term: values.next(),
            commit_index: values.next(),
            voters: values.next(),
            learners: values.next(),
            sessions: values.next(),
        }
    }
}

impl Sample for internal::SessionStatus {
    fn sample(values: &mut Values) -> Self {
        internal::SessionStatus {
            member: values.next(),
            epoch: values.next(),
            zone: values.next(),
            address: values.next(),
            applied_revision: values.next(),
        }
    }
}

impl Sample for internal::StateSnapshot {
    fn sample(values: &mut Values) -> Self {
        internal::StateSnapshot {
            shard: values.next(),
            term: values.next(),
            offset: values.next(),
            items: values.next(),
            config_source: values.next(),
        }
    }
}

impl Sample for internal::Subscribe {
    fn sample(values: &mut Values) -> Self {
        internal::Subscribe {
            shard: values.next(),
            term: values.next(),
            offset: values.next(),
        }
    }
}

impl Sample for internal::FeedMessage {
    fn sample(values: &mut Values) -> Self {
        internal::FeedMessage {
            shard: values.next(),
            kind: Some(internal::feed_message::Kind::Snapshot(values.next())),
        }
    }
}

impl Sample for internal::StateChange {
    fn sample(values: &mut Values) -> Self {
        internal::StateChange {
            previous_offset: values.next(),
            term: values.next(),
            offset: values.next(),
            items: values.next(),
            shard: values.next(),
        }
    }
}

impl Sample for internal::FeedProgress {
    fn sample(values: &mut Values) -> Self {
        internal::FeedProgress {
            term: values.next(),
            offset: values.next(),
            last_change_offset: values.next(),
        }
    }
}

impl Sample for internal::FeedStale {
    fn sample(_values: &mut Values) -> Self {
        internal::FeedStale {}
    }
}

impl Sample for internal::Heartbeat {
    fn sample(values: &mut Values) -> Self {
        internal::Heartbeat {
            member: values.next(),
            epoch: values.next(),
            sequence: values.next(),
            applied_revision: values.next(),
        }
    }
}

impl Sample for internal::HeartbeatReply {
    fn sample(values: &mut Values) -> Self {
        internal::HeartbeatReply {
            sequence: values.next(),
            session_alive: values.next(),
            has_quorum: values.next(),
            members: values.next(),
            data_shards: values.next(),
        }
    }
}

impl Sample for internal::LoadReport {
    fn sample(values: &mut Values) -> Self {
        internal::LoadReport {
            member: values.next(),
            epoch: values.next(),
            service: values.next(),
            shard: values.next(),
            loads: values.next(),
        }
    }
}

impl Sample for internal::ReplicaLoad {
    fn sample(values: &mut Values) -> Self {
        internal::ReplicaLoad {
            backend_id: values.next(),
            model: values.next(),
            prefill_tokens: values.next(),
            decode_streams: values.next(),
            held_requests: values.next(),
            samples: values.next(),
            failures: values.next(),
            version: values.next(),
        }
    }
}

impl Sample for internal::CostSample {
    fn sample(values: &mut Values) -> Self {
        internal::CostSample {
            prompt_tokens: values.next(),
            first_token_ms: values.next(),
            output_tokens: values.next(),
            decode_ms: values.next(),
            streams_at_start: values.next(),
        }
    }
}

impl Sample for internal::LoadSnapshot {
    fn sample(values: &mut Values) -> Self {
        internal::LoadSnapshot {
            service: values.next(),
            epoch: values.next(),
            loads: values.next(),
        }
    }
}

impl Sample for internal::QuotaRequest {
    fn sample(values: &mut Values) -> Self {
        internal::QuotaRequest {
            shard: values.next(),
            request_id: values.next(),
            member: values.next(),
            epoch: values.next(),
            tenants: values.next(),
        }
    }
}

impl Sample for internal::TenantQuotaRequest {
    fn sample(values: &mut Values) -> Self {
        internal::TenantQuotaRequest {
            tenant: values.next(),
            tokens: values.next(),
            returned_tokens: values.next(),
            slots_requested: values.next(),
            slots_in_use: values.next(),
            oldest_wait_ms: values.next(),
            waiting: values.next(),
        }
    }
}

impl Sample for internal::QuotaReply {
    fn sample(values: &mut Values) -> Self {
        internal::QuotaReply {
            shard: values.next(),
            request_id: values.next(),
            code: values.next(),
            term: values.next(),
            grants: values.next(),
        }
    }
}

impl Sample for internal::QuotaGrant {
    fn sample(values: &mut Values) -> Self {
        internal::QuotaGrant {
            tenant: values.next(),
            tokens: values.next(),
            slots: values.next(),
            lease_ms: values.next(),
            retry_after_ms: values.next(),
            refused: values.next(),
            slots_refused: values.next(),
            refused_tokens: values.next(),
        }
    }
}

impl Sample for internal::QuotaRecall {
    fn sample(values: &mut Values) -> Self {
        internal::QuotaRecall {
            shard: values.next(),
            tenant: values.next(),
            member: values.next(),
        }
    }
}

impl Sample for internal::RelayedQuotaRequest {
    fn sample(values: &mut Values) -> Self {
        internal::RelayedQuotaRequest {
            relay_id: values.next(),
            request: values.next(),
        }
    }
}

impl Sample for internal::RelayedQuotaReply {
    fn sample(values: &mut Values) -> Self {
        internal::RelayedQuotaReply {
            relay_id: values.next(),
            reply: values.next(),
        }
    }
}
