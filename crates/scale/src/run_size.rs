//! One run: a fleet of one size, from start to full restart.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::error::ScaleError;
use crate::hollow::hollow_node::RigRuntimes;
use crate::hollow::{HollowNode, RevisionArrivals, TrafficCounts, TrafficShape};
use crate::measure::{ProcessSample, Quantiles, ThreadTime};
use crate::options::ScaleOptions;
use crate::rig::agent_process::AgentProcess;
use crate::rig::document::document;
use crate::rig::registry_stub::RegistryStub;
use crate::rig::{ControlCluster, OperatorClient};
use crate::size::FleetSize;
use crate::size_result::SizeResult;
use crate::totals::Totals;

/// Names of the threads that run agents begin so.
pub const AGENT_THREADS: &str = "hollow-agent";

/// Longest time for a cluster to form and accept the first document.
const FORM_WITHIN: Duration = Duration::from_secs(15);

/// Longest time for all nodes to start, or to return.
const NODES_WITHIN: Duration = Duration::from_secs(30);

/// Longest time for a change to be applied on all nodes.
const CHANGE_WITHIN: Duration = Duration::from_secs(10);

/// Time for traffic to stabilize before the steady measurement.
const WARM_UP: Duration = Duration::from_secs(3);

/// Time between the starts of two nodes, so that a start is no storm; the restart is one.
const START_SPACING: Duration = Duration::from_millis(20);

/// Interval at which the rig polls whether a state was reached.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct Fleet {
    size: FleetSize,
    cluster: ControlCluster,
    operator: OperatorClient,
    nodes: Vec<HollowNode>,
    agent: AgentProcess,
    revision_arrivals: Arc<RevisionArrivals>,
    counts: Arc<TrafficCounts>,
    revision: u64,
}

/// Runs one size.
///
/// # Errors
/// Fails when the fleet does not come up, does not adopt a change or does not return in time.
pub async fn run(
    options: &ScaleOptions,
    size: FleetSize,
    folder: &Path,
    runtimes: &RigRuntimes,
) -> Result<SizeResult, ScaleError> {
    let mut result = SizeResult {
        size: Some(size),
        ..SizeResult::default()
    };
    let registry = RegistryStub::start(size.backends).await?;
    let cluster = ControlCluster::start(
        &options.programs,
        folder,
        registry.address(),
        &options.control_log_level,
    )?;
    let operator = OperatorClient::new(cluster.operator_addresses());
    let first = document(size, 0);
    let revision = operator.put(0, "first", &first, FORM_WITHIN).await?;
    let memory_before = resident_bytes();
    let seeds = cluster.internal_addresses();
    let agent = AgentProcess::start(&options.programs, folder, &seeds)?;
    let mut fleet = Fleet {
        size,
        cluster,
        operator,
        nodes: Vec::new(),
        agent,
        revision_arrivals: Arc::default(),
        counts: Arc::default(),
        revision,
    };
    fleet.boot(options, runtimes, &seeds, &mut result).await?;
    tokio::time::sleep(WARM_UP).await;
    fleet.steady(options, &mut result).await;
    let grown = (resident_bytes() - memory_before).max(0.0);
    result.node_memory_bytes = grown / f64::from(size.nodes);
    fleet.changes(options, &mut result).await?;
    let peak_before = largest(&fleet.cluster.samples(), |sample| sample.peak_bytes);
    if options.restart {
        result.return_seconds = Some(fleet.full_restart().await?);
    }
    let peak_after = largest(&fleet.cluster.samples(), |sample| sample.peak_bytes);
    result.control_peak_bytes = peak_before.max(peak_after);
    result.machine_load = load_average();
    Ok(result)
}

impl Fleet {
    async fn boot(
        &mut self,
        options: &ScaleOptions,
        runtimes: &RigRuntimes,
        seeds: &[String],
        result: &mut SizeResult,
    ) -> Result<(), ScaleError> {
        let start = Instant::now();
        for number in 0..self.size.nodes {
            let shape = TrafficShape {
                requests_per_second: options.requests_per_node,
                tenants: self.size.tenants,
                backends: self.size.backends,
                seed: options.seed + u64::from(number) * 7919,
            };
            let revision_arrivals = Arc::clone(&self.revision_arrivals);
            let counts = Arc::clone(&self.counts);
            let node = HollowNode::start(number, seeds, shape, runtimes, revision_arrivals, counts);
            self.nodes.push(node);
            tokio::time::sleep(START_SPACING).await;
        }
        self.wait_for_all("every node complete with a session", is_up)
            .await?;
        result.boot_seconds = start.elapsed().as_secs_f64();
        result.boot_bytes_per_node = self.bytes_in() / f64::from(self.size.nodes);
        Ok(())
    }

    async fn steady(&mut self, options: &ScaleOptions, result: &mut SizeResult) {
        let _ = self.counts.take_grant_ms();
        let before = self.totals();
        tokio::time::sleep(Duration::from_secs(options.steady_seconds)).await;
        let after = self.totals();
        let seconds = (after.at - before.at).as_secs_f64();
        let nodes = f64::from(self.size.nodes);
        result.steady_seconds = seconds;
        result.node_bytes_in = (after.bytes_in - before.bytes_in) / seconds / nodes;
        result.node_bytes_out = (after.bytes_out - before.bytes_out) / seconds / nodes;
        for (kind, bytes) in &after.bytes_by_kind {
            let earlier = before.bytes_by_kind.get(kind).copied().unwrap_or(0);
            let rate = (bytes - earlier) as f64 / seconds / nodes;
            result.node_bytes_by_kind.insert(kind, rate);
        }
        result.node_frames = (after.frames - before.frames) / seconds / nodes;
        result.node_cpu_percent = percent(after.agents_cpu - before.agents_cpu, seconds) / nodes;
        result.real_agent_cpu_percent = percent(after.agent_cpu - before.agent_cpu, seconds);
        result.real_agent_memory_bytes = after.agent_memory;
        let control: Vec<f64> = after
            .control_cpu
            .iter()
            .zip(&before.control_cpu)
            .map(|(after, before)| percent(after - before, seconds))
            .collect();
        result.control_cpu_percent = control.iter().sum();
        result.control_busiest_cpu_percent = control.iter().copied().fold(0.0, f64::max);
        let samples = self.cluster.samples();
        result.control_memory_bytes = largest(&samples, |sample| sample.resident_bytes);
        result.control_data_bytes = after.data_bytes;
        result.control_log_bytes = (after.data_bytes - before.data_bytes) / seconds;
        result.quota_ms = Quantiles::of(&self.counts.take_grant_ms());
        result.quota_granted = after.granted - before.granted;
        result.quota_refused = after.refused - before.refused;
        result.claims = after.claims - before.claims;
        result.claims_failed = after.claims_failed - before.claims_failed;
        result.fail_overs = after.fail_overs - before.fail_overs;
    }

    async fn changes(
        &mut self,
        options: &ScaleOptions,
        result: &mut SizeResult,
    ) -> Result<(), ScaleError> {
        let mut each = Vec::new();
        let mut everywhere = Vec::new();
        for change in 1..=options.changes {
            let changed = document(self.size, change);
            let order = format!("change-{change}");
            let sent = Instant::now();
            let put = self
                .operator
                .put(self.revision, &order, &changed, CHANGE_WITHIN);
            self.revision = put.await?;
            let revision = self.revision;
            let nodes = self.nodes.len();
            wait("a change everywhere", CHANGE_WITHIN, || {
                let applied = self.revision_arrivals.count(revision);
                (applied >= nodes)
                    .then_some(())
                    .ok_or_else(|| format!("{applied} of {nodes}"))
            })
            .await?;
            let delays = self.revision_arrivals.delays_ms(revision, sent);
            everywhere.push(delays.iter().copied().fold(0.0, f64::max));
            each.extend(delays);
        }
        result.change_ms = Quantiles::of(&each);
        result.change_everywhere_ms = Quantiles::of(&everywhere);
        Ok(())
    }

    async fn full_restart(&mut self) -> Result<f64, ScaleError> {
        let start = Instant::now();
        self.cluster.restart()?;
        // Agents notice the loss of their connection within a tick; none may count as up before.
        tokio::time::sleep(POLL_INTERVAL * 4).await;
        self.wait_for_all("every node connected again", is_up)
            .await?;
        Ok(start.elapsed().as_secs_f64())
    }

    async fn wait_for_all(
        &self,
        what: &'static str,
        reached: fn(&HollowNode) -> bool,
    ) -> Result<(), ScaleError> {
        wait(what, NODES_WITHIN, || {
            let ready = self.nodes.iter().filter(|node| reached(node)).count();
            let all = self.nodes.len();
            (ready == all)
                .then_some(())
                .ok_or_else(|| format!("{ready} of {all}"))
        })
        .await
    }

    fn bytes_in(&self) -> f64 {
        let meters = self.nodes.iter().map(HollowNode::meter);
        meters.map(|meter| meter.bytes_in() as f64).sum()
    }

    fn bytes_by_kind(&self) -> BTreeMap<&'static str, u64> {
        let mut total = BTreeMap::new();
        for node in &self.nodes {
            for (kind, bytes) in node.meter().bytes_by_kind() {
                *total.entry(kind).or_default() += bytes;
            }
        }
        total
    }

    fn totals(&self) -> Totals {
        let meters = || self.nodes.iter().map(HollowNode::meter);
        let agent = self.agent.sample();
        let samples = self.cluster.samples();
        let reports = self.nodes.iter().map(HollowNode::report);
        Totals {
            at: Instant::now(),
            bytes_in: self.bytes_in(),
            bytes_by_kind: self.bytes_by_kind(),
            bytes_out: meters().map(|meter| meter.bytes_out() as f64).sum(),
            frames: meters()
                .map(|meter| (meter.frames_in() + meter.frames_out()) as f64)
                .sum(),
            agents_cpu: ThreadTime::of_threads(AGENT_THREADS).cpu_seconds,
            agent_cpu: agent.map_or(0.0, |sample| sample.cpu_seconds),
            agent_memory: agent.map_or(0.0, |sample| sample.resident_bytes as f64),
            control_cpu: samples.iter().map(|sample| sample.cpu_seconds).collect(),
            data_bytes: self.cluster.data_bytes() as f64,
            granted: self.counts.granted(),
            refused: self.counts.refused(),
            claims: self.counts.claims(),
            claims_failed: self.counts.claims_failed(),
            fail_overs: reports.map(|report| report.counters.fail_overs).sum(),
        }
    }
}

fn is_up(node: &HollowNode) -> bool {
    let report = node.report();
    report.connected && report.complete && report.session_epoch != 0
}

async fn wait(
    what: &'static str,
    within: Duration,
    mut reached: impl FnMut() -> Result<(), String>,
) -> Result<(), ScaleError> {
    let start = Instant::now();
    loop {
        let detail = match reached() {
            Ok(()) => return Ok(()),
            Err(detail) => detail,
        };
        if start.elapsed() > within {
            return Err(ScaleError::NotReached {
                what,
                seconds: within.as_secs(),
                detail,
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn percent(cpu_seconds: f64, seconds: f64) -> f64 {
    100.0 * cpu_seconds / seconds
}

fn largest(samples: &[ProcessSample], value: fn(&ProcessSample) -> u64) -> f64 {
    samples.iter().map(value).max().unwrap_or(0) as f64
}

fn resident_bytes() -> f64 {
    ProcessSample::of_self().map_or(0.0, |sample| sample.resident_bytes as f64)
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
