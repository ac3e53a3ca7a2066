//! Clients of one proxy machine. They use an open connection until it ends and then open another one to the same
//! machine, also while it is told to end: a machine that is alone in its zone gets clients until its process is gone.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HOST};
use http::{Method, Request as HttpRequest};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, timeout};

use super::http::connect;
use super::operator::NewestGeneration;
use crate::configuration::{
    Generation, HOST as ROUTE_HOST, ITEM_LIFETIME, NEVER_HELD_KEY, PERMANENT_KEY, PROBE_TIMEOUT_MS,
    ROUTE_TIMEOUT_MS, STREAM_PATH, UNSAFE_PATH,
};
use crate::history::{Ending, Recorder, Request, Target};

/// Delay before a connection is tried again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Share of the probes with a key that no configuration contains.
const NEVER_HELD_SHARE: f64 = 0.15;
/// Time after a request's own deadline at which the client gives up.
const PATIENCE: Duration = Duration::from_millis(500);

type Connection = SendRequest<Full<Bytes>>;

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Requests on the routes of single generations.
    Probes,
    /// Requests that must not run twice.
    Unsafe,
    /// Streams, one after the other.
    Streams,
}

/// Starts the clients of proxy machines.
#[derive(Clone, Debug)]
pub struct Clients {
    /// Records the requests.
    pub recorder: Recorder,
    /// Newest generation that was acknowledged.
    pub newest: NewestGeneration,
    /// Range of the pause between two requests of one client, in milliseconds.
    pub pause_ms: (u64, u64),
}

impl Clients {
    /// Sends requests of one kind to the proxy machine `front` until the task is aborted.
    pub async fn run(self, kind: ClientKind, front: usize, address: SocketAddr, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut connection: Option<Connection> = None;
        loop {
            let open = match connection.take() {
                Some(open) if !open.is_closed() => Some(open),
                _ => connect(address).await.ok(),
            };
            let Some(mut open) = open else {
                sleep(RECONNECT_DELAY).await;
                continue;
            };
            let target = self.draw_target(kind, &mut random);
            let is_usable = self.send(front, target, &mut open, &mut random).await;
            connection = is_usable.then_some(open);
            let pause = random.random_range(self.pause_ms.0..=self.pause_ms.1);
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// Draws the route and key of a probe around the newest generation: some added just now, some dropped just now.
    fn draw_target(&self, kind: ClientKind, random: &mut ChaCha8Rng) -> Target {
        let newest = self.newest.get();
        let oldest = newest.0.saturating_sub(ITEM_LIFETIME + 1).max(1);
        let drawn = Generation(random.random_range(oldest..=newest.0));
        match kind {
            ClientKind::Unsafe => Target::Unsafe,
            ClientKind::Streams => Target::Stream,
            ClientKind::Probes if random.random_bool(NEVER_HELD_SHARE) => Target::NeverHeldKey,
            ClientKind::Probes if random.random_bool(0.5) => Target::Probe {
                route: drawn,
                key: newest,
            },
            ClientKind::Probes => Target::Probe {
                route: newest,
                key: drawn,
            },
        }
    }

    /// Sends a request and records how it ended. Returns whether the connection may be used again.
    async fn send(
        &self,
        front: usize,
        target: Target,
        connection: &mut Connection,
        random: &mut ChaCha8Rng,
    ) -> bool {
        if connection.ready().await.is_err() {
            return false;
        }
        let id = format!("{:016x}", random.random::<u64>());
        let (request, budget) = build(target, &id);
        let sent = self.recorder.now();
        let ending = timeout(budget + PATIENCE, exchange(connection, request)).await;
        let ending = ending.unwrap_or(Ending::TimedOut);
        let ended = self.recorder.now();
        self.recorder.lock().requests.push(Request {
            id,
            front,
            target,
            sent,
            ended,
            ending,
        });
        matches!(ending, Ending::Answered(_))
    }
}

fn build(target: Target, id: &str) -> (HttpRequest<Full<Bytes>>, Duration) {
    let (method, path, key, budget_ms) = match target {
        Target::Probe { route, key } => (Method::GET, route.path(), key.key(), PROBE_TIMEOUT_MS),
        Target::Unsafe => permanent(UNSAFE_PATH, PERMANENT_KEY),
        Target::Stream => permanent(STREAM_PATH, PERMANENT_KEY),
        Target::NeverHeldKey => permanent(UNSAFE_PATH, NEVER_HELD_KEY),
    };
    let request = HttpRequest::builder()
        .method(method)
        .uri(format!("{path}item"))
        .header(HOST, ROUTE_HOST)
        .header("request-id", id)
        .header("time-budget-ms", budget_ms.to_string())
        .header(AUTHORIZATION, format!("Token {key}"))
        .body(Full::new(Bytes::from_static(b"soak")))
        .unwrap_or_default();
    (request, Duration::from_millis(budget_ms))
}

fn permanent(path: &str, key: &str) -> (Method, String, String, u64) {
    (
        Method::POST,
        path.to_owned(),
        key.to_owned(),
        ROUTE_TIMEOUT_MS,
    )
}

async fn exchange(connection: &mut Connection, request: HttpRequest<Full<Bytes>>) -> Ending {
    let Ok(response) = connection.send_request(request).await else {
        return Ending::Broken;
    };
    let status = response.status().as_u16();
    match response.into_body().collect().await {
        Ok(_) => Ending::Answered(status),
        Err(_) => Ending::Broken,
    }
}
