//! Stream slots of one tenant: who holds how many.
//!
//! # Why the limit holds
//! A node is charged with the larger of what it may hold and what it uses, until its next ask, or
//! until it has been silent for so long that its streams are taken to have ended. A node's ask
//! states how many slots it keeps; it gives the others up when it sends the ask, before the leader
//! can lend them again. A new leader lends nothing beyond what is in use until every slice of its
//! predecessor has ended; each node in touch renews within that time and so reports what it uses.

use std::collections::BTreeMap;

use millford_core::{Duration, MonotonicTime};

use super::options::QuotaOptions;

/// A node that holds something idle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) member: String,
    pub(super) epoch: u64,
}

/// A node's ask, as far as slots go.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotAsk<'ask> {
    pub(super) member: &'ask str,
    pub(super) epoch: u64,
    /// Grows with each request of the session; an older ask than the last changes nothing.
    pub(super) request_id: u64,
    pub(super) wanted: u64,
    pub(super) in_use: u64,
}

/// What the node may hold.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlotAnswer {
    pub(super) slots: u64,
    pub(super) refused: bool,
    pub(super) retry_after: Duration,
    /// Idle slots of other nodes are to be called back.
    pub(super) recall: bool,
}

#[derive(Clone, Debug)]
struct SlotHold {
    epoch: u64,
    request_id: u64,
    granted: u64,
    /// What the node may believe to hold: a smaller answer may never reach it.
    may_hold: u64,
    in_use: u64,
    renewed_at: MonotonicTime,
    /// Set when a newer process of the member has shown up: what it does not claim soon is over.
    superseded_at: Option<MonotonicTime>,
    recalled_at: Option<MonotonicTime>,
}

impl SlotHold {
    fn charge(&self) -> u64 {
        self.may_hold.max(self.in_use)
    }

    fn is_over(&self, now: MonotonicTime, options: &QuotaOptions) -> bool {
        // A hold of nothing stays for as long as older asks of the node may still come: one that
        // was resent would otherwise be taken for a new one.
        let kept_for = match self.charge() {
            0 => options.lease * 2,
            _ => options.silent_slot_hold,
        };
        let silent = now.since(self.renewed_at) >= kept_for;
        let superseded = self
            .superseded_at
            .is_some_and(|since| now.since(since) >= options.lease * 2);
        silent || superseded
    }

    fn may_return(&self, now: MonotonicTime, options: &QuotaOptions) -> bool {
        let live = now.since(self.renewed_at) < options.lease;
        live && self.granted > self.in_use
    }
}

/// Holders of one tenant's slots.
#[derive(Clone, Debug, Default)]
pub(super) struct SlotTable {
    holds: BTreeMap<String, SlotHold>,
}

impl SlotTable {
    /// Renews, raises or lowers what a node holds. `limit` 0 means no limit; `settled_at` is when
    /// the slices of a former leader have certainly ended.
    pub(super) fn ask(
        &mut self,
        now: MonotonicTime,
        ask: SlotAsk<'_>,
        limit: u64,
        settled_at: MonotonicTime,
        options: &QuotaOptions,
    ) -> SlotAnswer {
        self.expire(now, options);
        if let Some(stale) = self.stale_answer(ask) {
            return stale;
        }
        let others = self.charged_to_others(ask.member);
        let room = if limit == 0 {
            u64::MAX
        } else if now < settled_at {
            0
        } else {
            limit.saturating_sub(others)
        };
        // Streams in use are never cut off, also when the limit was lowered.
        let slots = ask.wanted.min(room).max(ask.in_use.min(ask.wanted));
        self.note(now, ask, slots);
        let mut answer = SlotAnswer {
            slots,
            ..SlotAnswer::default()
        };
        if slots < ask.wanted {
            self.judge_missing(now, ask.member, settled_at, options, &mut answer);
        }
        answer
    }

    /// Members whose idle slots are to be called back now.
    pub(super) fn recall(&mut self, now: MonotonicTime, options: &QuotaOptions) -> Vec<Holder> {
        let mut holders = Vec::new();
        for (member, hold) in &mut self.holds {
            let due = hold
                .recalled_at
                .is_none_or(|sent| now.since(sent) >= options.recall_wait);
            if due && hold.may_return(now, options) {
                hold.recalled_at = Some(now);
                holders.push(Holder {
                    member: member.clone(),
                    epoch: hold.epoch,
                });
            }
        }
        holders
    }

    /// A newer process of the member has shown up.
    pub(super) fn supersede(&mut self, now: MonotonicTime, member: &str, epoch: u64) {
        if let Some(hold) = self.holds.get_mut(member)
            && hold.epoch < epoch
            && hold.superseded_at.is_none()
        {
            hold.superseded_at = Some(now);
        }
    }

    /// Forgets nodes that have been silent for too long.
    pub(super) fn expire(&mut self, now: MonotonicTime, options: &QuotaOptions) {
        self.holds.retain(|_, hold| !hold.is_over(now, options));
    }

    /// Whether nobody holds a slot.
    pub(super) fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    fn stale_answer(&self, ask: SlotAsk<'_>) -> Option<SlotAnswer> {
        let hold = self.holds.get(ask.member)?;
        let newer = hold.epoch == ask.epoch && hold.request_id > ask.request_id;
        newer.then(|| SlotAnswer {
            slots: hold.granted,
            ..SlotAnswer::default()
        })
    }

    fn charged_to_others(&self, member: &str) -> u64 {
        let others = self.holds.iter().filter(|(name, _)| *name != member);
        others.map(|(_, hold)| hold.charge()).sum()
    }

    fn note(&mut self, now: MonotonicTime, ask: SlotAsk<'_>, granted: u64) {
        let before = self.holds.get(ask.member);
        let held = before.filter(|hold| hold.epoch == ask.epoch);
        // Safety: the node gave up what it does not want when it sent the ask, and no more than
        // that; that the answer grants less it learns only if the answer arrives.
        let kept = held.map_or(0, |hold| hold.may_hold.min(ask.wanted));
        let hold = SlotHold {
            epoch: ask.epoch,
            request_id: ask.request_id,
            granted,
            may_hold: granted.max(kept),
            in_use: ask.in_use,
            renewed_at: now,
            superseded_at: None,
            recalled_at: None,
        };
        self.holds.insert(ask.member.to_owned(), hold);
    }

    fn judge_missing(
        &self,
        now: MonotonicTime,
        member: &str,
        settled_at: MonotonicTime,
        options: &QuotaOptions,
        answer: &mut SlotAnswer,
    ) {
        if now < settled_at {
            answer.retry_after = settled_at.since(now);
            return;
        }
        let mut others = self.holds.iter().filter(|(name, _)| *name != member);
        if others.any(|(_, hold)| hold.may_return(now, options)) {
            answer.recall = true;
            answer.retry_after = options.recall_wait;
        } else {
            answer.refused = true;
            answer.retry_after = options.lease;
        }
    }
}
