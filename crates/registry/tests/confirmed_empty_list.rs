//! An empty list of the registry, over simulated time.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use millford_registry::{
    ConfirmedEmptyList, EMPTY_LIST_CONFIRMATION, ReadFuture, RegistryEntry, RegistryError,
    RegistryView, ServiceRegistry, SharedRegistry,
};
use tokio::time::advance;

/// What the scripted registry returns.
#[derive(Clone, Copy)]
enum Answer {
    Backends,
    Empty,
    Timeout,
}

struct ScriptedRegistry(Arc<Mutex<Answer>>);

impl ServiceRegistry for ScriptedRegistry {
    fn read(&self) -> ReadFuture<'_> {
        let answer = *self.0.lock().expect("not poisoned");
        Box::pin(async move {
            match answer {
                Answer::Backends => Ok(RegistryView {
                    backends: vec![RegistryEntry::default()],
                    ..RegistryView::default()
                }),
                Answer::Empty => Err(RegistryError::Empty),
                Answer::Timeout => Err(RegistryError::Timeout),
            }
        })
    }
}

struct Fixture {
    answer: Arc<Mutex<Answer>>,
    registry: SharedRegistry,
}

impl Fixture {
    fn new() -> Self {
        let answer = Arc::new(Mutex::new(Answer::Backends));
        let scripted = Arc::new(ScriptedRegistry(Arc::clone(&answer)));
        Self {
            answer,
            registry: ConfirmedEmptyList::wrap(scripted),
        }
    }

    /// Reads with this answer. Returns the number of backends; `None` if the read is an error.
    async fn read(&self, answer: Answer) -> Option<usize> {
        *self.answer.lock().expect("not poisoned") = answer;
        let view = self.registry.read().await.ok()?;
        Some(view.backends.len())
    }
}

/// Guards against a control node that keeps the last backends for ever once the registry lists none: an empty list was
/// taken for an absent one.
#[tokio::test(start_paused = true)]
async fn a_list_that_stays_empty_is_believed() {
    let fixture = Fixture::new();
    assert_eq!(fixture.read(Answer::Backends).await, Some(1));
    assert_eq!(fixture.read(Answer::Empty).await, None);
    advance(EMPTY_LIST_CONFIRMATION / 2).await;
    assert_eq!(fixture.read(Answer::Empty).await, None);
    advance(EMPTY_LIST_CONFIRMATION / 2).await;
    assert_eq!(fixture.read(Answer::Empty).await, Some(0));
    assert_eq!(fixture.read(Answer::Backends).await, Some(1));
    assert_eq!(fixture.read(Answer::Empty).await, None, "a new period");
}

#[tokio::test(start_paused = true)]
async fn a_list_that_is_empty_for_a_moment_is_not_believed() {
    let fixture = Fixture::new();
    for _ in 0..4 {
        assert_eq!(fixture.read(Answer::Empty).await, None);
        advance(EMPTY_LIST_CONFIRMATION / 2).await;
        assert_eq!(fixture.read(Answer::Backends).await, Some(1));
        advance(EMPTY_LIST_CONFIRMATION).await;
    }
}

#[tokio::test(start_paused = true)]
async fn failed_reads_and_long_pauses_confirm_nothing() {
    let fixture = Fixture::new();
    assert_eq!(fixture.read(Answer::Empty).await, None);
    advance(Duration::from_secs(1)).await;
    assert_eq!(fixture.read(Answer::Timeout).await, None);
    advance(Duration::from_mins(1)).await;
    assert_eq!(fixture.read(Answer::Empty).await, None);
    advance(EMPTY_LIST_CONFIRMATION).await;
    assert_eq!(fixture.read(Answer::Empty).await, Some(0));
}
