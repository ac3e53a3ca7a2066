//! Locking of this crate's shared state.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex, even if it is poisoned: the mutexes of this crate guard counts and estimates, and a
/// slightly wrong one does no lasting harm.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
