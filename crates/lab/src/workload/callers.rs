//! Sends many requests concurrently and collects their outcomes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::task::JoinSet;

use super::texts::{QUESTIONS, shared_prefix};
use crate::caller::{CompletionRequest, LookupRequest, RequestOutcome, complete, look_up};
use crate::fleet::site::{LARGE_MODEL, ONCE_MODEL, SMALL_MODEL};

/// Name and key of a tenant.
#[derive(Clone, Debug)]
pub struct TenantCredentials {
    /// Name of the tenant in the configuration.
    pub name: String,
    /// Key of the tenant, sent as the bearer credential.
    pub key: String,
}

/// Proxies and tenants of a group of callers.
#[derive(Clone, Debug)]
pub struct CallersOptions {
    /// Caller addresses of the proxies, used in turn.
    pub proxies: Vec<SocketAddr>,
    /// Tenants; each sends half as many requests as the one before it.
    pub tenants: Vec<TenantCredentials>,
    /// Path prefix of lookups.
    pub lookup_prefix: String,
    /// Prefix of the markers, which distinguishes those of several groups and runs.
    pub seed: u64,
}

/// Kind of a model request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A long stream that another backend may resume.
    Long,
    /// A short question that another backend may restart.
    Question,
    /// A request that may not be repeated.
    Once,
}

impl RequestKind {
    fn model(self) -> &'static str {
        match self {
            RequestKind::Long => LARGE_MODEL,
            RequestKind::Question => SMALL_MODEL,
            RequestKind::Once => ONCE_MODEL,
        }
    }

    fn chunks(self, number: u64) -> u64 {
        match self {
            RequestKind::Long => 80 + number % 40,
            RequestKind::Question => 10 + number % 10,
            RequestKind::Once => 20 + number % 10,
        }
    }
}

/// Requests in flight and the outcomes of those that have ended. Dropping it aborts the open requests.
#[derive(Debug)]
pub struct Callers {
    options: CallersOptions,
    next_number: AtomicU64,
    next_turn: AtomicUsize,
    outcomes: Arc<Mutex<Vec<RequestOutcome>>>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Creates callers that have sent no requests.
    #[must_use]
    pub fn new(options: CallersOptions) -> Self {
        Self {
            options,
            next_number: AtomicU64::new(0),
            next_turn: AtomicUsize::new(0),
            outcomes: Arc::default(),
            tasks: JoinSet::new(),
        }
    }

    /// Starts a streamed completion at the next proxy and returns its marker.
    pub fn start(&mut self, kind: RequestKind) -> String {
        let request = self.completion(kind);
        let marker = request.marker.clone();
        let repeatable = kind != RequestKind::Once;
        let (proxy, address) = self.next_proxy();
        let outcomes = Arc::clone(&self.outcomes);
        self.tasks.spawn(async move {
            let outcome = complete(proxy, address, &request, repeatable).await;
            record(&outcomes, outcome);
        });
        marker
    }

    /// Starts a request that may not be repeated, with an idempotency key, and returns its marker. The
    /// request is resent to the following proxies until one response is a success or it was sent
    /// `max_sends` times.
    pub fn start_keyed(&mut self, max_sends: usize) -> String {
        let mut request = self.completion(RequestKind::Once);
        request.stream = false;
        request.idempotency_key = Some(request.marker.clone());
        let marker = request.marker.clone();
        let targets: Vec<_> = (0..max_sends).map(|_| self.next_proxy()).collect();
        let outcomes = Arc::clone(&self.outcomes);
        self.tasks.spawn(async move {
            for (proxy, address) in targets {
                let outcome = complete(proxy, address, &request, false).await;
                let succeeded = outcome.succeeded();
                record(&outcomes, outcome);
                if succeeded {
                    return;
                }
            }
        });
        marker
    }

    /// Starts a lookup at the next proxy.
    pub fn start_lookup(&mut self) {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let tenant = self.tenant(number);
        let request = LookupRequest {
            marker: self.marker(number),
            tenant: tenant.name,
            key: tenant.key,
            path: format!("{}entry-{}", self.options.lookup_prefix, number % 200),
        };
        let (proxy, address) = self.next_proxy();
        let outcomes = Arc::clone(&self.outcomes);
        self.tasks.spawn(async move {
            let outcome = look_up(proxy, address, &request).await;
            record(&outcomes, outcome);
        });
    }

    /// Returns the number of requests that have not ended.
    pub fn open_requests(&mut self) -> usize {
        while self.tasks.try_join_next().is_some() {}
        self.tasks.len()
    }

    /// Replaces the proxies that later requests are sent to.
    pub fn set_proxies(&mut self, proxies: Vec<SocketAddr>) {
        self.options.proxies = proxies;
    }

    /// Returns copies of the outcomes so far.
    #[must_use]
    pub fn outcomes(&self) -> Vec<RequestOutcome> {
        self.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits until every open request has ended and returns all outcomes.
    pub async fn finish(&mut self) -> Vec<RequestOutcome> {
        while self.tasks.join_next().await.is_some() {}
        self.outcomes()
    }

    fn completion(&self, kind: RequestKind) -> CompletionRequest {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let tenant = self.tenant(number);
        let index = usize::try_from(number).unwrap_or(0);
        let long = kind != RequestKind::Question;
        CompletionRequest {
            marker: self.marker(number),
            session: Some(format!("{}-session-{}", tenant.name, number % 7)),
            tenant: tenant.name,
            key: tenant.key,
            model: kind.model().to_owned(),
            shared_prefix: if long {
                shared_prefix(number.is_multiple_of(2))
            } else {
                String::new()
            },
            question: QUESTIONS[index % QUESTIONS.len()].to_owned(),
            stream: true,
            chunks: kind.chunks(number),
            idempotency_key: None,
            deadline_ms: None,
        }
    }

    fn marker(&self, number: u64) -> String {
        format!("{:x}-{number}", self.options.seed)
    }

    /// Returns the tenant of a request: half of the requests belong to the first tenant, half of the rest to
    /// the second, and so on.
    fn tenant(&self, number: u64) -> TenantCredentials {
        let last = self.options.tenants.len() - 1;
        let index = usize::try_from((number + 1).trailing_zeros()).unwrap_or(0);
        self.options.tenants[index.min(last)].clone()
    }

    fn next_proxy(&self) -> (usize, SocketAddr) {
        let turn = self.next_turn.fetch_add(1, Ordering::Relaxed);
        let index = turn % self.options.proxies.len();
        (index, self.options.proxies[index])
    }
}

fn record(outcomes: &Arc<Mutex<Vec<RequestOutcome>>>, outcome: RequestOutcome) {
    outcomes
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(outcome);
}
