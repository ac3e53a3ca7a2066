//! Fair queueing of requests among tenants while the backends are overloaded.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::lock::lock;

/// Id of a waiting request, unique within its queue.
pub type WaiterId = u64;

/// The queues of all pools and models.
#[derive(Debug, Default)]
pub struct FairQueues {
    queues: Mutex<BTreeMap<QueueKey, Arc<FairQueue>>>,
}

/// Pool and model whose capacity the requests of one queue compete for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Name of the pool.
    pub pool: String,
    /// Name of the model.
    pub model: String,
}

impl FairQueues {
    /// Returns the queue of this pool and model, and creates it on first use.
    #[must_use]
    pub fn queue(&self, key: &QueueKey) -> Arc<FairQueue> {
        let mut queues = lock(&self.queues);
        if let Some(queue) = queues.get(key) {
            return Arc::clone(queue);
        }
        // Only requests that matched a route are queued, so the routes bound the number of queues.
        Arc::clone(queues.entry(key.clone()).or_default())
    }
}

#[derive(Debug, Default)]
struct TenantQueue {
    /// Uncached prompt tokens of the tenant's admitted requests.
    in_flight: u64,
    waiting: VecDeque<WaiterId>,
}

#[derive(Debug, Default)]
struct QueueState {
    tenants: BTreeMap<String, TenantQueue>,
    next_id: WaiterId,
}

/// Work in flight per tenant, and the requests that wait for capacity.
///
/// While there is no capacity, requests of tenants over their share are refused at once and the others
/// wait; the tenant with the least work in flight is served first.
#[derive(Debug, Default)]
pub struct FairQueue {
    state: Mutex<QueueState>,
}

impl FairQueue {
    /// Counts an admitted request with this many uncached prompt tokens until [`FairQueue::finish`].
    pub fn begin(&self, tenant: &str, tokens: u64) {
        let mut state = self.lock();
        state
            .tenants
            .entry(tenant.to_owned())
            .or_default()
            .in_flight += tokens;
    }

    /// Stops counting an admitted request: its prefill is complete, or it has ended.
    pub fn finish(&self, tenant: &str, tokens: u64) {
        let mut state = self.lock();
        if let Some(queue) = state.tenants.get_mut(tenant) {
            queue.in_flight = queue.in_flight.saturating_sub(tokens);
        }
        state.remove_if_idle(tenant);
    }

    /// Returns whether the tenant has more than an equal share of the work in flight. Always false while no
    /// other tenant has requests in flight or waiting.
    #[must_use]
    pub fn is_over_share(&self, tenant: &str) -> bool {
        let state = self.lock();
        let total: u64 = state.tenants.values().map(|queue| queue.in_flight).sum();
        let others = state
            .tenants
            .iter()
            .filter(|(name, _)| name.as_str() != tenant);
        let competing = others.filter(|(_, queue)| queue.is_active()).count() as u64;
        let own = state.tenants.get(tenant).map_or(0, |queue| queue.in_flight);
        competing > 0 && own > total / (competing + 1)
    }

    /// Queues a request behind the waiting requests of its tenant.
    #[must_use]
    pub fn join(&self, tenant: &str) -> WaiterId {
        let mut state = self.lock();
        state.next_id += 1;
        let id = state.next_id;
        let queue = state.tenants.entry(tenant.to_owned()).or_default();
        queue.waiting.push_back(id);
        id
    }

    /// Returns whether this request is the next to be admitted.
    #[must_use]
    pub fn is_next(&self, tenant: &str, id: WaiterId) -> bool {
        let state = self.lock();
        let waiting = state
            .tenants
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty());
        let next = waiting.min_by_key(|(_, queue)| queue.in_flight);
        next.is_some_and(|(name, queue)| name == tenant && queue.waiting.front() == Some(&id))
    }

    /// Removes a request from the queue, whether it was admitted or not.
    pub fn leave(&self, tenant: &str, id: WaiterId) {
        let mut state = self.lock();
        if let Some(queue) = state.tenants.get_mut(tenant) {
            queue.waiting.retain(|waiting| *waiting != id);
        }
        state.remove_if_idle(tenant);
    }

    /// Returns whether any request waits. New requests must then be queued too.
    #[must_use]
    pub fn has_waiters(&self) -> bool {
        let state = self.lock();
        state
            .tenants
            .values()
            .any(|queue| !queue.waiting.is_empty())
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        lock(&self.state)
    }
}

impl TenantQueue {
    fn is_active(&self) -> bool {
        self.in_flight > 0 || !self.waiting.is_empty()
    }
}

impl QueueState {
    fn remove_if_idle(&mut self, tenant: &str) {
        let idle = self
            .tenants
            .get(tenant)
            .is_some_and(|queue| !queue.is_active());
        if idle {
            self.tenants.remove(tenant);
        }
    }
}
