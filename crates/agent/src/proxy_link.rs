//! What the proxy beside the agent has been sent.

use std::collections::BTreeMap;

use millford_api::internal::StateChange;
use millford_api::local::{AgentStatus, LocalFrame, local_frame};
use millford_api::state::StateItem;
use millford_core::{MonotonicTime, ShardId};
use millford_feed::{FeedPosition, FeedView};

use crate::registry::RegistryOverlay;
use crate::timing::STATUS_PERIOD;

/// Connection of the proxy, and the position of each shard that it was sent.
#[derive(Clone, Debug, Default)]
pub struct ProxyLink {
    greeted: bool,
    sent: BTreeMap<ShardId, FeedPosition>,
    applied_revision: u64,
    status: Option<AgentStatus>,
    status_at: MonotonicTime,
}

impl ProxyLink {
    /// The connection is new or gone: nothing has been sent on it.
    pub fn reset(&mut self) {
        self.greeted = false;
        self.sent.clear();
        self.status = None;
    }

    /// The proxy said hello: it wants every shard whole.
    pub fn greet(&mut self) {
        self.greeted = true;
        self.sent.clear();
        self.status = None;
    }

    /// Whether the proxy has said hello.
    #[must_use]
    pub fn greeted(&self) -> bool {
        self.greeted
    }

    /// The proxy shows this configuration revision.
    pub fn shown(&mut self, revision: u64) {
        self.applied_revision = self.applied_revision.max(revision);
    }

    /// The newest configuration revision that the proxy has shown.
    #[must_use]
    pub fn applied_revision(&self) -> u64 {
        self.applied_revision
    }

    /// The whole state of one shard, with what the registry retires.
    pub fn whole(&mut self, view: &FeedView, overlay: &RegistryOverlay) -> Option<LocalFrame> {
        if !self.greeted {
            return None;
        }
        self.sent.insert(view.shard(), view.position());
        let mut snapshot = view.snapshot();
        if !overlay.is_empty() {
            let items = snapshot.items.into_iter();
            snapshot.items = items.map(|item| overlay.merge(item)).collect();
        }
        Some(frame(local_frame::Body::Snapshot(snapshot)))
    }

    /// The items that changed in one shard up to its view's position.
    pub fn change(
        &mut self,
        view: &FeedView,
        items: Vec<StateItem>,
        overlay: &RegistryOverlay,
    ) -> Option<LocalFrame> {
        let Some(sent) = self.sent.get(&view.shard()).copied() else {
            return self.whole(view, overlay);
        };
        let position = view.position();
        self.sent.insert(view.shard(), position);
        if position.offset < sent.offset {
            // A forced recovery cut the shard's history: only a whole state can follow.
            return self.whole(view, overlay);
        }
        Some(change_frame(
            view.shard(),
            sent.offset,
            position,
            items,
            overlay,
        ))
    }

    /// Items whose backends the registry retires or no longer retires, at the position sent.
    pub fn amend(
        &mut self,
        view: &FeedView,
        items: Vec<StateItem>,
        overlay: &RegistryOverlay,
    ) -> Option<LocalFrame> {
        let position = *self.sent.get(&view.shard())?;
        let frame = change_frame(view.shard(), position.offset, position, items, overlay);
        Some(frame)
    }

    /// The status, when it differs from the last one sent or that one is old.
    pub fn status(&mut self, now: MonotonicTime, status: AgentStatus) -> Option<LocalFrame> {
        if !self.greeted {
            return None;
        }
        let due = now.since(self.status_at) >= STATUS_PERIOD;
        if !due && self.status.as_ref() == Some(&status) {
            return None;
        }
        self.status = Some(status);
        self.status_at = now;
        Some(frame(local_frame::Body::Status(status)))
    }
}

fn change_frame(
    shard: ShardId,
    previous_offset: u64,
    position: FeedPosition,
    items: Vec<StateItem>,
    overlay: &RegistryOverlay,
) -> LocalFrame {
    let items = items.into_iter().map(|item| overlay.merge(item));
    frame(local_frame::Body::Change(StateChange {
        previous_offset,
        term: position.term,
        offset: position.offset,
        items: items.collect(),
        shard: shard.0,
    }))
}

fn frame(body: local_frame::Body) -> LocalFrame {
    LocalFrame { body: Some(body) }
}
