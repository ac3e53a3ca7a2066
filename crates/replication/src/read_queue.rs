//! A leader's confirmed reads, from the request until a quorum has confirmed the leadership.

use std::collections::VecDeque;

use crate::ready::ConfirmedRead;

/// Reads that one broadcast confirms together.
#[derive(Debug)]
struct ReadBatch {
    /// Read sequence that the broadcast carries and the replies echo.
    sequence: u64,
    /// Commit index when the broadcast began.
    index: u64,
    /// Numbers that the owner chose for the reads.
    requests: Vec<u64>,
}

/// Reads waiting for a broadcast, and batches waiting for replies of a quorum.
#[derive(Debug, Default)]
pub(crate) struct ReadQueue {
    /// Requests that are not part of a batch yet.
    queued: Vec<u64>,
    /// Batches whose broadcast has begun, oldest first.
    batches: VecDeque<ReadBatch>,
    /// Sequence of the last broadcast; 0 before the first.
    last_sequence: u64,
}

impl ReadQueue {
    /// Sequence of the last broadcast; 0 before the first.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Queues a request for the next batch.
    pub(crate) fn push(&mut self, request: u64) {
        self.queued.push(request);
    }

    /// Begins a batch of the queued requests, to be read at `index`. Returns false if there are
    /// none.
    pub(crate) fn begin_batch(&mut self, index: u64) -> bool {
        if self.queued.is_empty() {
            return false;
        }
        self.last_sequence += 1;
        self.batches.push_back(ReadBatch {
            sequence: self.last_sequence,
            index,
            requests: std::mem::take(&mut self.queued),
        });
        true
    }

    /// Removes and returns the reads of all batches up to `sequence`, which a quorum has answered.
    pub(crate) fn take_confirmed(&mut self, sequence: u64) -> Vec<ConfirmedRead> {
        let mut confirmed = Vec::new();
        while let Some(batch) = self
            .batches
            .pop_front_if(|batch| batch.sequence <= sequence)
        {
            let index = batch.index;
            let reads = batch.requests.into_iter();
            confirmed.extend(reads.map(|request| ConfirmedRead { request, index }));
        }
        confirmed
    }

    /// Returns all unconfirmed requests: the queued ones first, then the batches, oldest first.
    pub(crate) fn into_requests(self) -> impl Iterator<Item = u64> {
        let batches = self.batches.into_iter();
        let started = batches.flat_map(|batch| batch.requests);
        self.queued.into_iter().chain(started)
    }
}
