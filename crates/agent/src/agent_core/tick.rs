//! Time-driven work: heartbeats, retries, timeouts and shutdown.

use millford_api::internal::{Heartbeat, frame};
use millford_api::local::{AgentStatus, local_frame};
use millford_core::{MonotonicTime, ShardLayout};

use super::proxy::send_quota_replies;
use super::{AgentCore, send_proxy};
use crate::link::LinkAction;
use crate::output::AgentOutput;
use crate::registry::FallbackAction;
use crate::shutdown::{ProxyPhase, Shutdown};
use crate::timing::{MAX_TICK_INTERVAL, MIN_TICK_INTERVAL, SHUTDOWN_TIMEOUT};

impl AgentCore {
    /// Returns the latest time at which the next [`crate::AgentInput::Tick`] is due.
    #[must_use]
    pub fn next_tick(&self, now: MonotonicTime) -> MonotonicTime {
        let latest = now + MAX_TICK_INTERVAL;
        // Without a connection nothing can be sent, so queued requests need no earlier tick.
        if self.link.connected_link().is_none() {
            return latest;
        }
        let wakeups = [
            self.quota.next_wakeup(now),
            self.claims.next_wakeup(),
            self.resolver.next_wakeup(),
        ];
        let earliest = wakeups.into_iter().flatten().min();
        earliest.map_or(latest, |at| at.clamp(now + MIN_TICK_INTERVAL, latest))
    }

    /// Performs all work that is due. Called after each input event.
    pub(super) fn advance(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        self.advance_link(now, out);
        self.expire_requests(now, out);
        if self.link.connected_link().is_some() {
            self.send_due(now, out);
        }
        self.advance_registry(now, out);
        self.send_status(now, out);
        self.advance_shutdown(now, out);
    }

    fn advance_link(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        if self.link.connected_link().is_some() && self.feeds.inactive_shard(now).is_some() {
            self.fail_over(now, out);
        }
        for action in self.link.tick(now) {
            self.perform(action, out);
        }
        if self.link.take_failed_pass() {
            out.push(AgentOutput::ReadSeeds);
        }
    }

    pub(super) fn perform(&mut self, action: LinkAction, out: &mut Vec<AgentOutput>) {
        match action {
            LinkAction::Connect { link, address } => {
                out.push(AgentOutput::Connect { link, address });
            }
            LinkAction::Close { link } => {
                self.counters.fail_overs += 1;
                out.push(AgentOutput::CloseControl { link });
            }
        }
    }

    fn expire_requests(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        send_quota_replies(self.quota.tick(now), out);
        for abandoned in self.claims.expire(now) {
            self.counters.claims_unavailable += 1;
            let id = self.next_request_id();
            self.resolver
                .submit_abandoned(now, id, abandoned.resolution);
            send_proxy(local_frame::Body::ClaimReply(abandoned.reply), out);
        }
    }

    fn send_due(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        self.send_heartbeat(now, out);
        for subscribe in self.feeds.due_subscriptions(now) {
            self.send(frame::Body::Subscribe(subscribe), out);
        }
        let Some(layout) = self.feeds.layout() else {
            return;
        };
        if matches!(self.shutdown, Some(Shutdown::ClosingSession { .. })) {
            return;
        }
        let last_id = &mut self.last_request_id;
        if let Some(request) = self.session.due_request(now, layout, last_id) {
            self.send(frame::Body::ShardRequest(request), out);
        }
        let claims = self.claims.due_requests(now, layout);
        let resolutions = self.resolver.due_requests(now, layout);
        for request in claims.into_iter().chain(resolutions) {
            self.send(frame::Body::ShardRequest(request), out);
        }
        if self.session.epoch() != 0 {
            let (member, epoch) = (self.session.member(), self.session.epoch());
            let last_id = &mut self.last_request_id;
            let requests = self.quota.due_requests(now, layout, member, epoch, last_id);
            for request in requests {
                self.send(frame::Body::QuotaRequest(request), out);
            }
        }
    }

    fn send_heartbeat(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        let Some(sequence) = self.heartbeats.next_due(now) else {
            return;
        };
        let heartbeat = Heartbeat {
            member: self.session.member().to_owned(),
            epoch: self.session.epoch(),
            sequence,
            applied_revision: self.proxy.applied_revision(),
        };
        self.send(frame::Body::Heartbeat(heartbeat), out);
    }

    fn advance_registry(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        let is_confirmed = self.is_connected() && self.feeds.is_confirmed_on_link();
        let feeds = &self.feeds;
        let action = self
            .registry
            .advance(now, is_confirmed, || feeds.has_backends());
        match action {
            Some(FallbackAction::Read) => out.push(AgentOutput::ReadRegistry),
            Some(FallbackAction::Withdraw(keys)) => self.send_overlay_changes(&keys, out),
            None => {}
        }
    }

    fn send_status(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        let status = AgentStatus {
            connected: self.is_connected(),
            session_epoch: self.session.epoch(),
            data_shards: self.feeds.layout().map_or(0, ShardLayout::data_shards),
            complete: self.feeds.complete(),
        };
        let frame = self.proxy.status_frame(now, status);
        out.extend(frame.map(|frame| AgentOutput::SendProxy(Box::new(frame))));
    }

    /// Starts the shutdown. The proxy is served until it no longer needs the agent: a draining proxy still has to apply
    /// every configuration and to withdraw from draining backends.
    pub(super) fn begin_shutdown(&mut self, now: MonotonicTime) {
        self.shutdown
            .get_or_insert(Shutdown::ServingProxy { since: now });
    }

    fn advance_shutdown(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        match self.shutdown {
            Some(Shutdown::ClosingSession { deadline, .. }) if deadline <= now => {
                out.push(AgentOutput::Stopped);
            }
            Some(shutdown)
                if shutdown.must_close_session(now, self.proxy_phase(), self.drain_timeout) =>
            {
                self.close_session(now, out);
            }
            _ => {}
        }
    }

    fn proxy_phase(&self) -> ProxyPhase {
        if !self.proxy.handshake_done() {
            ProxyPhase::Gone
        } else if self.proxy.is_draining() {
            ProxyPhase::Draining
        } else {
            ProxyPhase::Serving
        }
    }

    /// Requests that the session be closed, or stops immediately if no session is open or no control node is
    /// connected.
    fn close_session(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        let request_id = self.next_request_id();
        let layout = self.feeds.layout();
        let close = layout.and_then(|layout| self.session.close(layout, request_id));
        self.shutdown = Some(Shutdown::ClosingSession {
            request_id,
            deadline: now + SHUTDOWN_TIMEOUT,
        });
        match close {
            Some(close) if self.link.connected_link().is_some() => {
                self.send(frame::Body::ShardRequest(close), out);
            }
            _ => out.push(AgentOutput::Stopped),
        }
    }
}
