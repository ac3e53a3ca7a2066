//! Deterministic, single-threaded executor of a proxy's tasks.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Wake, Waker};

type Task = Pin<Box<dyn Future<Output = ()> + Send>>;

#[derive(Default)]
struct WakeQueue {
    tasks: Mutex<Vec<u64>>,
}

struct TaskWaker {
    task: u64,
    queue: Arc<WakeQueue>,
}

impl Wake for TaskWaker {
    fn wake(self: Arc<Self>) {
        let mut tasks = self
            .queue
            .tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        tasks.push(self.task);
    }
}

/// Tasks by number. Woken tasks are polled in the order in which they were woken.
#[derive(Default)]
pub struct Executor {
    tasks: BTreeMap<u64, Task>,
    woken: Arc<WakeQueue>,
    next: u64,
}

impl Executor {
    /// Adds a task, to be polled by the next [`Executor::run`].
    pub fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.next += 1;
        self.tasks.insert(self.next, Box::pin(task));
        self.lock_woken().push(self.next);
    }

    /// Polls woken tasks until no task is woken.
    pub fn run(&mut self) {
        loop {
            let woken = std::mem::take(&mut *self.lock_woken());
            if woken.is_empty() {
                return;
            }
            for task in woken {
                self.poll(task);
            }
        }
    }

    fn poll(&mut self, number: u64) {
        let Some(task) = self.tasks.get_mut(&number) else {
            return;
        };
        let waker = Waker::from(Arc::new(TaskWaker {
            task: number,
            queue: Arc::clone(&self.woken),
        }));
        let mut context = Context::from_waker(&waker);
        if task.as_mut().poll(&mut context).is_ready() {
            self.tasks.remove(&number);
        }
    }

    fn lock_woken(&self) -> std::sync::MutexGuard<'_, Vec<u64>> {
        self.woken
            .tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
