//! One way to lock the soft state of this crate.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// The guarded value, also after a panic of another holder: what is guarded in this crate are counts and
/// estimates, and one that is a little off does no lasting harm.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
