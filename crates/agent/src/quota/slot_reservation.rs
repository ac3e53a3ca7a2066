//! Stream slots of one tenant on this node.

use millford_core::MonotonicTime;

use crate::timing::SLOT_RENEWAL_PERIOD;

/// Slots granted and in use.
#[derive(Clone, Debug)]
pub struct SlotReservation {
    granted: u32,
    expires_at: MonotonicTime,
    in_use: u32,
    reported_at: MonotonicTime,
    renew_at: MonotonicTime,
    /// Id of the last request that reported the slots.
    last_request: u64,
}

impl SlotReservation {
    /// Nothing granted, nothing in use.
    #[must_use]
    pub fn new(now: MonotonicTime) -> Self {
        Self {
            granted: 0,
            expires_at: now,
            in_use: 0,
            reported_at: now,
            renew_at: now + SLOT_RENEWAL_PERIOD,
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
    pub fn has_free_slot(&self, now: MonotonicTime) -> bool {
        now < self.expires_at && self.in_use < self.granted
    }

    /// When the slots were last reported to the leader.
    #[must_use]
    pub fn reported_at(&self) -> MonotonicTime {
        self.reported_at
    }

    /// A stream starts.
    pub fn acquire(&mut self) {
        self.in_use += 1;
    }

    /// A stream ended.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// The proxy says how many streams it has open, whatever was counted before.
    pub fn reconcile(&mut self, open_streams: u32) {
        self.in_use = open_streams;
    }

    /// When the slots in use are to be reported again; none when none is in use.
    #[must_use]
    pub fn renewal_due(&self) -> Option<MonotonicTime> {
        (self.in_use > 0).then_some(self.renew_at)
    }

    /// Request `request_id`, sent now, reports the slots and asks for `requested` of them.
    pub fn record_request(&mut self, now: MonotonicTime, requested: u32, request_id: u64) {
        self.reported_at = now;
        self.renew_at = now + SLOT_RENEWAL_PERIOD;
        self.last_request = request_id;
        // Safety: the leader may grant others what this request does not ask for as soon as it
        // reads it.
        self.granted = self.granted.min(requested);
    }

    /// The last request was not processed: what it reported is to be reported again at `at`.
    pub fn schedule_report(&mut self, at: MonotonicTime) {
        self.renew_at = at;
    }

    /// The leader answered request `request_id` with `slots` until `expires_at`.
    pub fn record_grant(
        &mut self,
        now: MonotonicTime,
        slots: u32,
        expires_at: MonotonicTime,
        request_id: u64,
    ) {
        // Safety: a later request may have given up what this answer still grants.
        if request_id != self.last_request {
            return;
        }
        self.granted = slots;
        self.expires_at = expires_at;
        // Safety: a leader grants at least what the request reported. Streams beyond that began while
        // the request was in flight, under a lease that this leader may not know of.
        if slots < self.in_use {
            self.renew_at = now;
        }
    }
}
