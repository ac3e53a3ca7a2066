//! Locks the soft state of this crate.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if another thread panicked while it held the lock. The mutexes of this crate guard soft
/// state that peers and requests renew, so that a partial change has no lasting effect.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
