//! Stream slots of one tenant on this node.

use millford_core::MonotonicTime;

use crate::timing::SLOT_RENEWAL;

/// Slots lent and in use.
#[derive(Clone, Debug)]
pub struct SlotHold {
    lent: u32,
    until: MonotonicTime,
    in_use: u32,
    told_at: MonotonicTime,
    renew_at: MonotonicTime,
    /// Request that carried the last ask.
    last_request: u64,
}

impl SlotHold {
    /// Nothing lent, nothing in use.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            lent: 0,
            until: now,
            in_use: 0,
            told_at: now,
            renew_at: now + SLOT_RENEWAL,
            last_request: 0,
        }
    }

    /// Slots in use now.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Whether one more stream may start.
    #[must_use]
    pub fn is_free(&self, now: MonotonicTime) -> bool {
        now < self.until && self.in_use < self.lent
    }

    /// When the last ask was sent.
    #[must_use]
    pub fn told_at(&self) -> MonotonicTime {
        self.told_at
    }

    /// A stream starts.
    pub fn take(&mut self) {
        self.in_use += 1;
    }

    /// A stream ended.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// The proxy says how many streams it has open, whatever was counted before.
    pub fn take_over(&mut self, streams: u32) {
        self.in_use = streams;
    }

    /// When the slots in use are to be reported again.
    #[must_use]
    pub fn renewal(&self) -> Option<MonotonicTime> {
        (self.in_use > 0).then_some(self.renew_at)
    }

    /// An ask for `wanted` slots goes out in request `request_id`.
    pub fn asked(&mut self, now: MonotonicTime, wanted: u32, request_id: u64) {
        self.told_at = now;
        self.renew_at = now + SLOT_RENEWAL;
        self.last_request = request_id;
        // Safety: the leader may lend what the ask does not want to others as soon as it reads it.
        self.lent = self.lent.min(wanted);
    }

    /// The last ask was not processed: what it reported is to be reported again at `at`.
    pub fn report_again(&mut self, at: MonotonicTime) {
        self.renew_at = at;
    }

    /// The leader answered the ask of request `request_id`; the answer came at `now`.
    pub fn granted(
        &mut self,
        now: MonotonicTime,
        slots: u32,
        until: MonotonicTime,
        request_id: u64,
    ) {
        // Safety: a later ask may have given up what this answer still grants.
        if request_id != self.last_request {
            return;
        }
        self.lent = slots;
        self.until = until;
        // Safety: a leader grants at least what the ask reported. Streams beyond that began while
        // the ask was under way, under a lease this leader may not know of.
        if slots < self.in_use {
            self.renew_at = now;
        }
    }
}
