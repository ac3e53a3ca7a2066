//! The operator: sends one configuration after the other and reads the newest back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request as HttpRequest};
use http_body_util::{BodyExt, Full};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tokio::time::{sleep, timeout};

use super::http::connect;
use crate::configuration::{Contender, Generation};
use crate::deployment::SeedList;
use crate::history::{ConfigRead, Order, OrderState, Recorder};

/// Time after which a call counts as unanswered.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Range of the pause after a configuration without keys, in milliseconds. It is longer than the time until a
/// configuration is in force, so that requests are sent while no key is valid.
const KEYLESS_PAUSE_MS: (u64, u64) = (2500, 5000);
/// Base version of the first configuration.
const NO_VERSION: u64 = 0;
/// One in so many configurations has a rival on the same base.
const RACE_INTERVAL: u32 = 4;
/// Answers that end an order at once.
const FINAL_REFUSALS: [u16; 5] = [400, 409, 412, 413, 422];

/// Newest generation that was acknowledged, shared with the clients.
#[derive(Clone, Debug)]
pub struct NewestGeneration(Arc<AtomicU64>);

impl Default for NewestGeneration {
    fn default() -> Self {
        Self(Arc::new(AtomicU64::new(1)))
    }
}

impl NewestGeneration {
    /// Returns the generation; the first one before any was acknowledged.
    #[must_use]
    pub fn get(&self) -> Generation {
        Generation(self.0.load(Ordering::SeqCst))
    }

    fn set(&self, generation: Generation) {
        self.0.store(generation.0, Ordering::SeqCst);
    }
}

#[derive(Deserialize)]
struct VersionOnly {
    version: u64,
}

/// The operator.
#[derive(Debug)]
pub struct Operator {
    /// Control machines that it calls.
    pub seeds: SeedList,
    /// Records orders and reads.
    pub recorder: Recorder,
    /// Newest generation that was acknowledged.
    pub newest: NewestGeneration,
    /// Draws the machine of each call.
    pub random: ChaCha8Rng,
}

impl Operator {
    /// Sends the first configuration until it is acknowledged or refused.
    pub async fn put_first(&mut self) {
        self.put(Generation(1), Contender::First, NO_VERSION).await;
    }

    /// Sends configurations after the first, with pauses in this range, until the task is aborted or none wins.
    pub async fn change(&mut self, pause_ms: (u64, u64)) {
        let mut generation = Generation(1);
        let mut base = generation.version(Contender::First);
        loop {
            let (shortest, longest) = if generation.holds_permanent_key() {
                pause_ms
            } else {
                KEYLESS_PAUSE_MS
            };
            let pause = self.random.random_range(shortest..=longest);
            sleep(Duration::from_millis(pause)).await;
            generation = self.next_generation(generation);
            let Some(version) = self.put_generation(generation, base).await else {
                return;
            };
            base = version;
        }
    }

    /// Returns the next generation to send. Once the disruptions are over it holds keys, so that service can return.
    fn next_generation(&self, generation: Generation) -> Generation {
        let next = Generation(generation.0 + 1);
        let is_calm = !self.recorder.lock().calm_since.is_zero();
        if is_calm && !next.holds_permanent_key() {
            return Generation(next.0 + 1);
        }
        next
    }

    /// Sends the configuration of a generation, at times beside a rival's. Returns the version that won.
    async fn put_generation(&mut self, generation: Generation, base: u64) -> Option<u64> {
        if !self.random.random_ratio(1, RACE_INTERVAL) {
            return self.put(generation, Contender::First, base).await;
        }
        let mut rival = Self {
            seeds: self.seeds.clone(),
            recorder: self.recorder.clone(),
            newest: self.newest.clone(),
            random: ChaCha8Rng::from_rng(&mut self.random),
        };
        let (first, second) = tokio::join!(
            self.put(generation, Contender::First, base),
            rival.put(generation, Contender::Rival, base)
        );
        first.or(second)
    }

    /// Sends a configuration until it is acknowledged or refused. Returns its version if it is acknowledged.
    async fn put(
        &mut self,
        generation: Generation,
        contender: Contender,
        base: u64,
    ) -> Option<u64> {
        let body = Bytes::from(generation.document(contender).to_string());
        let version = generation.version(contender);
        let index = self.record_order(generation, version, base);
        loop {
            let status = match self.draw_address() {
                Some(address) => put_once(address, base, body.clone()).await,
                None => None,
            };
            let now = self.recorder.now();
            match status {
                Some(200) => {
                    self.recorder.lock().orders[index].state = OrderState::Acknowledged(now);
                    self.newest.set(generation);
                    return Some(version);
                }
                Some(refusal) if FINAL_REFUSALS.contains(&refusal) => {
                    self.recorder.lock().orders[index].state = OrderState::Refused(refusal);
                    return None;
                }
                _ => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reads the configuration at one machine, and records the answer if it is a 200.
    pub async fn read(&mut self) {
        let Some(address) = self.draw_address() else {
            return;
        };
        let sent = self.recorder.now();
        if let Some((200, body)) = call(address, get_request()).await {
            let parsed: Result<VersionOnly, _> = serde_json::from_slice(&body);
            let version = parsed.ok().map(|parsed| parsed.version);
            self.recorder.lock().reads.push(ConfigRead {
                server: address,
                sent,
                version,
            });
        }
    }

    fn record_order(&self, generation: Generation, version: u64, base: u64) -> usize {
        let sent = self.recorder.now();
        let mut history = self.recorder.lock();
        history.orders.push(Order {
            generation,
            version,
            base,
            sent,
            state: OrderState::Sent,
        });
        history.orders.len() - 1
    }

    fn draw_address(&mut self) -> Option<SocketAddr> {
        let seeds = self.seeds.lagging(self.recorder.now());
        seeds.choose(&mut self.random).copied()
    }
}

async fn put_once(address: SocketAddr, base: u64, body: Bytes) -> Option<u16> {
    let request = HttpRequest::builder()
        .method(Method::POST)
        .uri("/millford/Config.Put")
        .header("host", address.to_string())
        .header("base-version", base.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))
        .unwrap_or_default();
    let answer = call(address, request).await;
    answer.map(|(status, _)| status)
}

fn get_request() -> HttpRequest<Full<Bytes>> {
    HttpRequest::builder()
        .uri("/millford/Config.Get")
        .header("host", "operator")
        .body(Full::default())
        .unwrap_or_default()
}

async fn call(address: SocketAddr, request: HttpRequest<Full<Bytes>>) -> Option<(u16, Bytes)> {
    let exchange = async {
        let mut connection = connect(address).await.ok()?;
        let response = connection.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    };
    timeout(CALL_TIMEOUT, exchange).await.ok()?
}
