//! Stream slots of one tenant on this node. A slot allows one concurrent stream.

use millford_core::MonotonicTime;

use crate::timing::SLOT_RENEWAL_PERIOD;

/// Slots that the leader has granted and slots that open streams use.
#[derive(Clone, Debug)]
pub struct SlotReservation {
    granted: u32,
    expires_at: MonotonicTime,
    in_use: u32,
    reported_at: MonotonicTime,
    renew_at: MonotonicTime,
    /// Id of the last request that reported the slots in use.
    last_request: u64,
}

impl SlotReservation {
    /// Creates a reservation with no slots granted or in use.
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

    /// Returns the number of slots in use.
    #[must_use]
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns whether one more stream may start.
    #[must_use]
    pub fn has_free_slot(&self, now: MonotonicTime) -> bool {
        now < self.expires_at && self.in_use < self.granted
    }

    /// Returns when the slots were last reported to the leader.
    #[must_use]
    pub fn reported_at(&self) -> MonotonicTime {
        self.reported_at
    }

    /// Marks one more slot as in use, for a stream that starts.
    pub fn acquire(&mut self) {
        self.in_use += 1;
    }

    /// Frees the slot of a stream that has ended.
    pub fn release(&mut self) {
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Sets the number of slots in use to the number of open streams that the proxy reports.
    pub fn reconcile(&mut self, open_streams: u32) {
        self.in_use = open_streams;
    }

    /// Returns when the slots in use have to be reported again; `None` if no slot is in use.
    #[must_use]
    pub fn renewal_due(&self) -> Option<MonotonicTime> {
        (self.in_use > 0).then_some(self.renew_at)
    }

    /// Records that request `request_id`, which is sent now, reports the slots in use and asks for
    /// `requested` slots in total.
    pub fn record_request(&mut self, now: MonotonicTime, requested: u32, request_id: u64) {
        self.reported_at = now;
        self.renew_at = now + SLOT_RENEWAL_PERIOD;
        self.last_request = request_id;
        // Safety: once the leader has received this request, it may grant the slots that are not
        // requested here to other nodes.
        self.granted = self.granted.min(requested);
    }

    /// Schedules another report at `at`, after the last request was not processed.
    pub fn schedule_report(&mut self, at: MonotonicTime) {
        self.renew_at = at;
    }

    /// Records the leader's reply to request `request_id`, which grants `slots` in total until
    /// `expires_at`. A reply to an older request is ignored.
    pub fn record_grant(
        &mut self,
        now: MonotonicTime,
        slots: u32,
        expires_at: MonotonicTime,
        request_id: u64,
    ) {
        // Safety: a later request may have given up slots that this reply still grants.
        if request_id != self.last_request {
            return;
        }
        self.granted = slots;
        self.expires_at = expires_at;
        // Safety: a leader grants at least the reported slots. Streams beyond that number started
        // while the request was in flight, under an earlier lease that a new leader may not have
        // recorded, so they are reported immediately.
        if slots < self.in_use {
            self.renew_at = now;
        }
    }
}
