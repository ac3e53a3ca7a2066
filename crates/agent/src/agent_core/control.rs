//! Handles input events from the connection to the control node.

use millford_api::internal::{
    FeedMessage, Frame, HeartbeatReply, QuotaReply, ShardReply, feed_message, frame,
};
use millford_api::local::local_frame;
use millford_core::{MonotonicTime, ResultCode, ShardId};
use millford_feed::FeedOutcome;

use super::proxy::send_quota_replies;
use super::{AgentCore, send_proxy};
use crate::feeds::FeedEvent;
use crate::input::ControlLinkId;
use crate::output::AgentOutput;
use crate::shutdown::Shutdown;

impl AgentCore {
    pub(super) fn link_up(
        &mut self,
        now: MonotonicTime,
        link: ControlLinkId,
        out: &mut Vec<AgentOutput>,
    ) {
        if !self.link.connection_established(now, link) {
            out.push(AgentOutput::CloseControl { link });
            return;
        }
        self.counters.links_up += 1;
        self.heartbeats.expedite(now);
        self.session.link_up(now);
        self.feeds.link_up(now);
        self.quota.link_up(now);
        self.claims.link_up(now);
        self.resolver.link_up(now);
    }

    pub(super) fn link_down(&mut self, now: MonotonicTime, link: ControlLinkId) {
        if self.link.is_up(link) {
            self.counters.fail_overs += 1;
        }
        self.link.connection_lost(now, link);
    }

    pub(super) fn control_frame(
        &mut self,
        now: MonotonicTime,
        frame: Frame,
        out: &mut Vec<AgentOutput>,
    ) {
        self.link.record_received(now);
        match frame.body {
            Some(frame::Body::HeartbeatReply(reply)) => self.heartbeat_reply(now, &reply, out),
            Some(frame::Body::Feed(message)) => self.feed(now, message, out),
            Some(frame::Body::ShardReply(reply)) => self.shard_reply(now, &reply, out),
            Some(frame::Body::QuotaReply(reply)) => self.quota_reply(now, &reply, out),
            Some(frame::Body::QuotaRecall(recall)) => self.quota.recall(&recall),
            Some(frame::Body::LoadSnapshot(snapshot)) if self.proxy.handshake_done() => {
                send_proxy(local_frame::Body::LoadSnapshot(snapshot), out);
            }
            Some(frame::Body::HelloReply(reply)) => {
                self.feeds.set_data_shards(now, reply.data_shards);
            }
            // Ignores frames that only control nodes exchange, and kinds that a newer control node
            // may send and this version does not support.
            _ => {}
        }
    }

    fn heartbeat_reply(
        &mut self,
        now: MonotonicTime,
        reply: &HeartbeatReply,
        out: &mut Vec<AgentOutput>,
    ) {
        self.feeds.set_data_shards(now, reply.data_shards);
        // The member list and session state of a control node without quorum contact may be
        // outdated.
        if !self.link.record_quorum_contact(now, reply.has_quorum) {
            self.fail_over(now, out);
            return;
        }
        if self.link.update_members(&reply.members) {
            out.push(AgentOutput::SaveMembers(reply.members.clone()));
        }
        if !reply.session_alive && self.heartbeats.named_session(reply.sequence) {
            self.session.closed_by_control(now);
        }
    }

    fn feed(&mut self, now: MonotonicTime, message: FeedMessage, out: &mut Vec<AgentOutput>) {
        let shard = ShardId(message.shard);
        let ends_catch_up = !matches!(message.kind, Some(feed_message::Kind::Change(_)));
        let Some(event) = self.feeds.apply(now, message) else {
            return;
        };
        match &event.outcome {
            FeedOutcome::Stale => {
                self.counters.feed_stale += 1;
                if self.feeds.may_fail_over(now, shard) {
                    self.fail_over(now, out);
                }
                return;
            }
            FeedOutcome::Resubscribe => self.counters.feed_gaps += 1,
            FeedOutcome::Changed(_) => self.counters.feed_changes += 1,
            FeedOutcome::Unchanged => {}
        }
        if shard == ShardId::CONFIGURATION && self.is_behind_proxy() {
            self.feeds.revoke_confirmation(now, shard);
            if ends_catch_up {
                self.counters.feed_stale += 1;
                self.fail_over(now, out);
            }
            return;
        }
        self.forward_to_proxy(event, out);
    }

    /// Returns whether the received configuration is older than the revision that the proxy has
    /// applied. This happens after a restart of the agent, which loses the agent's state but not
    /// the proxy's.
    fn is_behind_proxy(&self) -> bool {
        self.revision() < self.proxy.applied_revision()
    }

    fn forward_to_proxy(&mut self, event: FeedEvent, out: &mut Vec<AgentOutput>) {
        let Some(view) = self.feeds.view(event.shard) else {
            return;
        };
        let overlay = self.registry.overlay();
        let frame = match event.outcome {
            _ if event.first_confirmation => self.proxy.snapshot_frame(view, overlay),
            FeedOutcome::Changed(items) => self.proxy.change_frame(view, items, overlay),
            _ => None,
        };
        out.extend(frame.map(|frame| AgentOutput::SendProxy(Box::new(frame))));
    }

    fn shard_reply(&mut self, now: MonotonicTime, reply: &ShardReply, out: &mut Vec<AgentOutput>) {
        if self.is_close_reply(reply) {
            out.push(AgentOutput::Stopped);
            return;
        }
        if self.session.handle_reply(now, reply) {
            self.counters.sessions_opened += 1;
            self.heartbeats.session_opened();
            self.quota.session_changed(now);
        }
        if let Some(answer) = self.claims.handle_reply(now, reply) {
            self.counters.claims_answered += 1;
            send_proxy(local_frame::Body::ClaimReply(answer), out);
        }
        let acknowledged = &mut self.counters.resolutions_acknowledged;
        if let Some(answer) = self.resolver.handle_reply(now, reply, acknowledged) {
            send_proxy(local_frame::Body::ResolveClaimReply(answer), out);
        }
    }

    fn quota_reply(&mut self, now: MonotonicTime, reply: &QuotaReply, out: &mut Vec<AgentOutput>) {
        // The session may have been closed; the reply to a heartbeat shows whether it was.
        let fenced = [ResultCode::EpochFenced, ResultCode::SessionClosed];
        if fenced.iter().any(|code| reply.code == code.number()) {
            self.heartbeats.expedite(now);
        }
        send_quota_replies(self.quota.reply(now, reply), out);
    }

    fn is_close_reply(&self, reply: &ShardReply) -> bool {
        matches!(
            self.shutdown,
            Some(Shutdown::ClosingSession { request_id, .. }) if request_id == reply.request_id
        )
    }
}
