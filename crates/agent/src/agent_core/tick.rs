//! What time brings: heartbeats, retries, time-outs.

use millford_api::internal::{Heartbeat, frame};
use millford_api::local::{AgentStatus, local_frame};
use millford_core::MonotonicTime;

use super::proxy::answer_quota;
use super::{AgentCore, Stopping, send_proxy};
use crate::link::LinkAction;
use crate::output::AgentOutput;
use crate::timing::{HEARTBEAT_PERIOD, REGISTRY_AFTER, REGISTRY_KEPT, STOP_TIMEOUT, TICK};

impl AgentCore {
    /// When the next `Tick` is wanted, at the latest.
    #[must_use]
    pub fn next_tick(&self, now: MonotonicTime) -> MonotonicTime {
        let wakeups = [
            self.quota.next_wakeup(now),
            self.claims.next_wakeup(),
            self.settles.next_wakeup(),
        ];
        let earliest = wakeups.into_iter().flatten().min();
        let latest = now + TICK;
        // While there is no connection, what waits to be sent needs no tick of its own.
        let earliest = earliest.filter(|_| self.link.up().is_some());
        let smallest_step = now + millford_core::Duration::from_millis(1);
        earliest.map_or(latest, |at| at.clamp(smallest_step, latest))
    }

    /// Everything that is due, after each input.
    pub(super) fn advance(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        self.advance_link(now, out);
        self.time_out(now, out);
        if self.link.up().is_some() {
            self.send_due(now, out);
        }
        self.advance_registry(now, out);
        self.send_status(now, out);
        self.advance_stop(now, out);
    }

    fn advance_link(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        if self.link.up().is_some() && self.feeds.silent_shard(now).is_some() {
            self.leave(now, out);
        }
        for action in self.link.tick(now) {
            match action {
                LinkAction::Connect(link, address) => {
                    out.push(AgentOutput::Connect { link, address });
                }
                LinkAction::Close(link) => {
                    self.counters.fail_overs += 1;
                    out.push(AgentOutput::CloseControl { link });
                }
            }
        }
    }

    fn time_out(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        answer_quota(self.quota.tick(now), out);
        for abandoned in self.claims.give_up(now) {
            self.counters.claims_unavailable += 1;
            let id = self.new_id();
            self.settles.submit_abandoned(now, id, abandoned.settle);
            send_proxy(local_frame::Body::ClaimReply(abandoned.reply), out);
        }
    }

    fn send_due(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        self.send_heartbeat(now, out);
        for subscribe in self.feeds.due(now) {
            self.send(frame::Body::Subscribe(subscribe), out);
        }
        let Some(layout) = self.feeds.layout() else {
            return;
        };
        if self.stopping.is_some() {
            return;
        }
        if let Some(request) = self.session.due(now, layout, &mut self.next_id) {
            self.send(frame::Body::ShardRequest(request), out);
        }
        let claims = self.claims.due(now, layout);
        let settles = self.settles.due(now, layout);
        for request in claims.into_iter().chain(settles) {
            self.send(frame::Body::ShardRequest(request), out);
        }
        if self.session.epoch() != 0 {
            let member = self.session.member().to_owned();
            let epoch = self.session.epoch();
            let ids = &mut self.next_id;
            for request in self.quota.requests(now, layout, &member, epoch, ids) {
                self.send(frame::Body::QuotaRequest(request), out);
            }
        }
    }

    fn send_heartbeat(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        if now < self.heartbeat_at {
            return;
        }
        self.heartbeat_at = now + HEARTBEAT_PERIOD;
        self.heartbeat_sequence += 1;
        let heartbeat = Heartbeat {
            member: self.session.member().to_owned(),
            epoch: self.session.epoch(),
            sequence: self.heartbeat_sequence,
            applied_revision: self.proxy.applied_revision(),
        };
        self.send(frame::Body::Heartbeat(heartbeat), out);
    }

    /// While control does not confirm every shard the agent reads the registry itself: it is out of touch, or
    /// a shard has no leader that anybody hears, and nobody takes that shard's backends off. Once control
    /// has had time to read the registry again, what the agent read is dropped.
    fn advance_registry(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        let confirmed = self.in_touch() && self.feeds.complete_on_link();
        self.confirmation.note(now, confirmed);
        if let Some(lasting) = self.confirmation.missing_for(now) {
            // Without backends in its state an agent has nothing that a list could retire.
            let is_due = lasting >= REGISTRY_AFTER && self.registry_pace.is_due(now);
            if is_due && self.feeds.knows_backends() {
                self.registry_pace.begin(now);
                out.push(AgentOutput::ReadRegistry);
            }
            return;
        }
        let settled = self.confirmation.lasts_for(now) >= Some(REGISTRY_KEPT);
        if settled && !self.overlay.is_empty() {
            let keys = self.overlay.clear();
            self.amend(&keys, out);
        }
    }

    fn send_status(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        let status = AgentStatus {
            connected: self.in_touch(),
            session_epoch: self.session.epoch(),
            data_shards: self.feeds.layout().map_or(0, |layout| layout.data_shards()),
            complete: self.feeds.complete(),
        };
        let frame = self.proxy.status(now, status);
        out.extend(frame.map(|frame| AgentOutput::SendProxy(Box::new(frame))));
    }

    pub(super) fn stop(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        let request = self.new_id();
        let layout = self.feeds.layout();
        let close = layout.and_then(|layout| self.session.close(layout, request));
        self.stopping = Some(Stopping {
            request,
            give_up_at: now + STOP_TIMEOUT,
        });
        match close {
            Some(close) if self.link.up().is_some() => {
                self.send(frame::Body::ShardRequest(close), out);
            }
            _ => out.push(AgentOutput::Stopped),
        }
    }

    fn advance_stop(&mut self, now: MonotonicTime, out: &mut Vec<AgentOutput>) {
        let over = self
            .stopping
            .is_some_and(|stopping| stopping.give_up_at <= now);
        if over {
            out.push(AgentOutput::Stopped);
        }
    }
}
