//! Tracks what has been sent to the local proxy.

use std::collections::BTreeMap;

use millford_api::internal::StateChange;
use millford_api::local::{AgentStatus, LocalFrame, local_frame};
use millford_api::state::StateItem;
use millford_core::{MonotonicTime, ShardId};
use millford_feed::{FeedPosition, FeedView};

use crate::registry::RegistryOverlay;
use crate::timing::STATUS_PERIOD;

/// State of the proxy's connection, and the position of each shard that was sent on it.
#[derive(Clone, Debug, Default)]
pub struct ProxyLink {
    handshake_done: bool,
    is_draining: bool,
    sent_positions: BTreeMap<ShardId, FeedPosition>,
    applied_revision: u64,
    status: Option<AgentStatus>,
    status_at: MonotonicTime,
}

impl ProxyLink {
    /// Resets the state for a connection that is new or closed, on which nothing has been sent.
    pub fn reset(&mut self) {
        self.handshake_done = false;
        self.is_draining = false;
        self.sent_positions.clear();
        self.status = None;
    }

    /// Records the proxy's hello, after which it needs a snapshot of every shard.
    pub fn complete_handshake(&mut self) {
        self.handshake_done = true;
        self.sent_positions.clear();
        self.status = None;
    }

    /// Returns whether the proxy's hello has been received on this connection.
    #[must_use]
    pub fn handshake_done(&self) -> bool {
        self.handshake_done
    }

    /// Records that the proxy is draining.
    pub fn record_draining(&mut self) {
        self.is_draining = true;
    }

    /// Returns whether the proxy has reported on this connection that it is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Records a configuration revision that the proxy reports as applied.
    pub fn record_applied(&mut self, revision: u64) {
        self.applied_revision = self.applied_revision.max(revision);
    }

    /// Returns the newest configuration revision that the proxy has applied over all its
    /// connections; 0 before the first report.
    #[must_use]
    pub fn applied_revision(&self) -> u64 {
        self.applied_revision
    }

    /// Returns a frame with the complete state of one shard, merged with the registry overlay.
    /// `None` before the handshake.
    pub fn snapshot_frame(
        &mut self,
        view: &FeedView,
        overlay: &RegistryOverlay,
    ) -> Option<LocalFrame> {
        if !self.handshake_done {
            return None;
        }
        self.sent_positions.insert(view.shard(), view.position());
        let mut snapshot = view.snapshot();
        if !overlay.is_empty() {
            let items = snapshot.items.into_iter();
            snapshot.items = items.map(|item| overlay.merge(item)).collect();
        }
        Some(frame(local_frame::Body::Snapshot(snapshot)))
    }

    /// Returns a frame with the items that changed in one shard up to its view's position, or a
    /// snapshot if the proxy cannot apply a change. `None` before the handshake.
    pub fn change_frame(
        &mut self,
        view: &FeedView,
        items: Vec<StateItem>,
        overlay: &RegistryOverlay,
    ) -> Option<LocalFrame> {
        let Some(sent) = self.sent_positions.get(&view.shard()).copied() else {
            return self.snapshot_frame(view, overlay);
        };
        let position = view.position();
        self.sent_positions.insert(view.shard(), position);
        if position.offset < sent.offset {
            // A forced recovery truncated the shard's log, so the proxy needs a snapshot.
            return self.snapshot_frame(view, overlay);
        }
        let change = state_change(view.shard(), sent.offset, position, items, overlay);
        Some(frame(local_frame::Body::Change(change)))
    }

    /// Returns a frame with the items whose overlay changed, at the position already sent. `None`
    /// if the proxy has not been sent a snapshot of the shard yet.
    pub fn overlay_change_frame(
        &mut self,
        view: &FeedView,
        items: Vec<StateItem>,
        overlay: &RegistryOverlay,
    ) -> Option<LocalFrame> {
        let position = *self.sent_positions.get(&view.shard())?;
        let change = state_change(view.shard(), position.offset, position, items, overlay);
        Some(frame(local_frame::Body::Change(change)))
    }

    /// Returns a status frame if the status differs from the last one sent or [`STATUS_PERIOD`] has
    /// passed since then. `None` before the handshake.
    pub fn status_frame(&mut self, now: MonotonicTime, status: AgentStatus) -> Option<LocalFrame> {
        if !self.handshake_done {
            return None;
        }
        let is_due = now.since(self.status_at) >= STATUS_PERIOD;
        if !is_due && self.status.as_ref() == Some(&status) {
            return None;
        }
        self.status = Some(status);
        self.status_at = now;
        Some(frame(local_frame::Body::Status(status)))
    }
}

fn state_change(
    shard: ShardId,
    previous_offset: u64,
    position: FeedPosition,
    items: Vec<StateItem>,
    overlay: &RegistryOverlay,
) -> StateChange {
    let items = items.into_iter().map(|item| overlay.merge(item));
    StateChange {
        previous_offset,
        term: position.term,
        offset: position.offset,
        items: items.collect(),
        shard: shard.0,
    }
}

fn frame(body: local_frame::Body) -> LocalFrame {
    LocalFrame { body: Some(body) }
}
