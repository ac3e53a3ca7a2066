//! Simulated time that advances to the next timer when no future can make progress.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};

use millford_core::{Duration, MonotonicTime};

#[derive(Debug, Default)]
struct Timers {
    now: MonotonicTime,
    next_id: u64,
    pending: BTreeMap<(MonotonicTime, u64), Waker>,
}

/// A simulated clock that also runs futures.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimulatedClock(Arc<Mutex<Timers>>);

impl SimulatedClock {
    pub(crate) fn now(&self) -> MonotonicTime {
        self.0.lock().expect("clock").now
    }

    pub(crate) fn sleep(&self, duration: Duration) -> Sleep {
        Sleep {
            clock: self.clone(),
            until: self.now() + duration,
            timer: None,
        }
    }

    /// Runs a future to its end. Panics if it is not ready and no timer is pending.
    pub(crate) fn run<F: Future>(&self, future: F) -> F::Output {
        let woken = Arc::new(WakeFlag(AtomicBool::new(true)));
        let waker = Waker::from(Arc::clone(&woken));
        let mut context = Context::from_waker(&waker);
        let mut future = pin!(future);
        loop {
            while woken.0.swap(false, Ordering::SeqCst) {
                if let Poll::Ready(output) = future.as_mut().poll(&mut context) {
                    return output;
                }
            }
            self.advance();
        }
    }

    fn advance(&self) {
        let mut timers = self.0.lock().expect("clock");
        let next = timers.pending.pop_first();
        let ((at, _), waker) = next.expect("the future is pending, but no timer is");
        timers.now = timers.now.max(at);
        drop(timers);
        waker.wake();
    }
}

struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Completes at the simulated time `until`; removes its timer when dropped.
pub(crate) struct Sleep {
    clock: SimulatedClock,
    until: MonotonicTime,
    timer: Option<(MonotonicTime, u64)>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let clock = self.clock.clone();
        let mut timers = clock.0.lock().expect("clock");
        if timers.now >= self.until {
            return Poll::Ready(());
        }
        let key = self.timer.unwrap_or_else(|| {
            timers.next_id += 1;
            (self.until, timers.next_id)
        });
        self.timer = Some(key);
        timers.pending.insert(key, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.timer {
            self.clock.0.lock().expect("clock").pending.remove(&key);
        }
    }
}
