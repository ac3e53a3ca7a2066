//! Traffic generator that uses the agent's local protocol in place of a proxy.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use millford_agent::AgentInput;
use millford_agent::daemon::EventQueues;
use millford_agent::daemon::proxy_sender::ProxyFrames;
use millford_api::command::{Claim, ResolveClaim, RunOutcome};
use millford_api::local::{
    LocalClaim, LocalFrame, LocalQuotaRelease, LocalQuotaRequest, LocalResolveClaim, ProxyApplied,
    ProxyHello, local_frame,
};
use millford_api::state::{StateItem, state_value};
use millford_routing::in_flight_guard::InFlightGuard;
use millford_routing::load_table::LoadTable;
use millford_routing::replica_key::ReplicaKey;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::hollow::revision_arrivals::RevisionArrivals;
use crate::hollow::traffic::{
    CLAIMED_SHARE, MEAN_STREAM_SECONDS, REQUEST_TIMEOUT, TrafficCounts, TrafficShape,
};
use crate::rig::document::{MODELS, backend_name, model_name, tenant_name};

/// Time between two load reports; equal to the real proxy's.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Simulated time from dispatch to the first token.
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(600);

struct OpenStream {
    tenant: String,
    in_flight: InFlightGuard,
    first_token_at: Instant,
    ends_at: Instant,
}

/// Simulated proxy that requests quota, keeps streams open and reports load. Of the state that it receives it
/// stores only the applied revision and the load of other proxies.
pub struct SimulatedProxy {
    shape: TrafficShape,
    queues: EventQueues,
    revision_arrivals: Arc<RevisionArrivals>,
    counts: Arc<TrafficCounts>,
    load: Arc<LoadTable>,
    random: SmallRng,
    pending_requests: BTreeMap<u64, (Instant, String)>,
    streams: Vec<OpenStream>,
    next_id: u64,
    applied_revision: u64,
}

impl SimulatedProxy {
    /// Creates a proxy; it sends nothing until [`Self::run`].
    #[must_use]
    pub fn new(
        shape: TrafficShape,
        queues: EventQueues,
        revision_arrivals: Arc<RevisionArrivals>,
        counts: Arc<TrafficCounts>,
    ) -> Self {
        Self {
            random: SmallRng::seed_from_u64(shape.seed),
            shape,
            queues,
            revision_arrivals,
            counts,
            load: Arc::new(LoadTable::default()),
            pending_requests: BTreeMap::new(),
            streams: Vec::new(),
            next_id: 0,
            applied_revision: 0,
        }
    }

    /// Generates traffic until the agent closes the connection or the task is aborted.
    pub async fn run(mut self, mut frames: ProxyFrames) {
        self.queues.send_state(AgentInput::ProxyUp).await;
        let boot_id = self.random.random();
        self.send(local_frame::Body::ProxyHello(ProxyHello {
            boot_id,
            caller_address: String::new(),
        }))
        .await;
        let mut next_request = Instant::now();
        let mut next_report = Instant::now() + REPORT_PERIOD.mul_f64(self.random.random());
        loop {
            let wake = next_request.min(next_report).min(self.next_stream_event());
            tokio::select! {
                frame = frames.next() => match frame {
                    Some(frame) => self.receive(frame).await,
                    None => return,
                },
                () = tokio::time::sleep_until(wake.into()) => {}
            }
            let now = Instant::now();
            if now >= next_request && self.applied_revision > 0 {
                self.request_quota(now).await;
                next_request = now + self.request_gap();
            } else if self.applied_revision == 0 {
                next_request = now + Duration::from_millis(100);
            }
            if now >= next_report {
                next_report = now + REPORT_PERIOD;
                self.send_load_reports().await;
            }
            self.advance_streams(now).await;
        }
    }

    async fn receive(&mut self, frame: LocalFrame) {
        match frame.body {
            Some(local_frame::Body::Snapshot(snapshot)) => self.apply_items(&snapshot.items).await,
            Some(local_frame::Body::Change(change)) => self.apply_items(&change.items).await,
            Some(local_frame::Body::QuotaReply(reply)) => {
                let Some((requested_at, tenant)) = self.pending_requests.remove(&reply.request_id)
                else {
                    return;
                };
                let millis = requested_at.elapsed().as_secs_f64() * 1e3;
                self.counts.record_quota_reply(reply.granted, millis);
                if reply.granted {
                    self.start_stream(tenant).await;
                }
            }
            Some(local_frame::Body::ClaimReply(reply)) => {
                let granted = reply.result.is_some_and(|result| result.granted);
                self.counts.record_claim_reply(granted);
            }
            Some(local_frame::Body::LoadSnapshot(snapshot)) => self.load.merge_snapshot(&snapshot),
            _ => {}
        }
    }

    async fn apply_items(&mut self, items: &[StateItem]) {
        let heads = items
            .iter()
            .filter_map(|item| match &item.value.as_ref()?.kind {
                Some(state_value::Kind::ConfigHead(head)) => Some(head.revision),
                _ => None,
            });
        let Some(revision) = heads.max() else { return };
        self.revision_arrivals.record_arrival(revision);
        let first = self.applied_revision == 0;
        self.applied_revision = revision;
        self.send(local_frame::Body::Applied(ProxyApplied { revision }))
            .await;
        if first {
            // Starts with as many streams as would be open after a long time of steady traffic.
            for _ in 0..self.shape.steady_streams() as u32 {
                self.request_quota(Instant::now()).await;
            }
        }
    }

    async fn request_quota(&mut self, now: Instant) {
        let tenant = self.draw_tenant();
        self.next_id += 1;
        self.pending_requests
            .insert(self.next_id, (now, tenant.clone()));
        let request = LocalQuotaRequest {
            request_id: self.next_id,
            tenant,
            stream: true,
            timeout_ms: millis(REQUEST_TIMEOUT),
            waited_ms: 0,
        };
        self.send(local_frame::Body::QuotaRequest(request)).await;
    }

    /// Draws a tenant by the square of a uniform number, so that tenants with low numbers dominate the traffic.
    fn draw_tenant(&mut self) -> String {
        let uniform: f64 = self.random.random();
        let number = (uniform * uniform * f64::from(self.shape.tenants)) as u32;
        tenant_name(number.min(self.shape.tenants - 1))
    }

    async fn start_stream(&mut self, tenant: String) {
        if self.random.random_bool(CLAIMED_SHARE) {
            self.send_claim(&tenant).await;
        }
        let backend = self.random.random_range(0..self.shape.backends.max(1));
        let key = ReplicaKey {
            pool: model_name(backend % MODELS),
            backend_id: backend_name(backend),
            model: model_name(backend % MODELS),
            version: "1".to_owned(),
        };
        let now = Instant::now();
        let length = MEAN_STREAM_SECONDS * exponential(&mut self.random);
        self.streams.push(OpenStream {
            tenant,
            in_flight: self.load.start(key, 2_000),
            first_token_at: now + FIRST_TOKEN_DELAY,
            ends_at: now + FIRST_TOKEN_DELAY + Duration::from_secs_f64(length),
        });
    }

    async fn send_claim(&mut self, tenant: &str) {
        self.next_id += 1;
        let request_id = format!("{:x}-{}", self.random.random::<u64>(), self.next_id);
        let claim = Claim {
            tenant: tenant.to_owned(),
            request_id: request_id.clone(),
            attempt_id: request_id.clone(),
            digest: vec![7; 32],
        };
        self.send(local_frame::Body::Claim(LocalClaim {
            request_id: self.next_id,
            claim: Some(claim),
            timeout_ms: millis(REQUEST_TIMEOUT),
        }))
        .await;
        self.next_id += 1;
        let resolution = ResolveClaim {
            tenant: tenant.to_owned(),
            request_id: request_id.clone(),
            attempt_id: request_id,
            outcome: RunOutcome::RunCompleted.into(),
        };
        self.send(local_frame::Body::ResolveClaim(LocalResolveClaim {
            request_id: self.next_id,
            resolution: Some(resolution),
        }))
        .await;
    }

    async fn advance_streams(&mut self, now: Instant) {
        for stream in &mut self.streams {
            if stream.first_token_at <= now {
                stream.in_flight.begin_decode();
            }
        }
        let (ended, open): (Vec<OpenStream>, Vec<OpenStream>) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream| stream.ends_at <= now);
        self.streams = open;
        for stream in ended {
            let release = LocalQuotaRelease {
                tenant: stream.tenant,
                stream: true,
                unused: false,
            };
            self.send(local_frame::Body::QuotaRelease(release)).await;
        }
    }

    fn next_stream_event(&self) -> Instant {
        let ends = self.streams.iter().map(|stream| stream.ends_at).min();
        ends.unwrap_or_else(|| Instant::now() + REPORT_PERIOD)
    }

    async fn send_load_reports(&mut self) {
        for report in self.load.take_reports() {
            self.send(local_frame::Body::LoadReport(report)).await;
        }
    }

    async fn send(&self, body: local_frame::Body) {
        let frame = LocalFrame { body: Some(body) };
        self.queues.send_proxy_frame(frame).await;
    }

    fn request_gap(&mut self) -> Duration {
        let mean = 1.0 / self.shape.requests_per_second;
        Duration::from_secs_f64(mean * exponential(&mut self.random))
    }
}

/// Draws an exponentially distributed number with mean 1, capped at 5 so that no run waits for rare large
/// values.
fn exponential(random: &mut SmallRng) -> f64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    (-uniform.ln()).min(5.0)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
