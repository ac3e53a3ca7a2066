//! One way to lock the soft state of this crate.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// The guarded value, also after a panic of another holder: what is guarded in this crate is soft state that
/// peers and requests renew, so a half-made change does no lasting harm.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
