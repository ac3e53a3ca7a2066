//! Runs a fleet of one size from its start to a full restart of control, and measures it.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::error::ScaleError;
use crate::hollow::hollow_node::HarnessRuntimes;
use crate::hollow::{RevisionArrivals, SimulatedNode, TrafficCounts, TrafficShape};
use crate::measure::{ProcessSample, Quantiles, ThreadTime};
use crate::options::ScaleOptions;
use crate::rig::agent_process::AgentProcess;
use crate::rig::document::document;
use crate::rig::registry_stub::RegistryStub;
use crate::rig::{ControlCluster, OperatorClient};
use crate::size::FleetSize;
use crate::size_result::SizeResult;
use crate::totals::Totals;

/// Name of the threads that run the simulated agents; their processor time is found by this name.
pub const AGENT_THREADS: &str = "hollow-agent";

/// Timeout for the control cluster to form and accept the first configuration.
const FORM_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout for all nodes to start, or to reconnect after a restart.
const NODES_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for a configuration change to be accepted, and again for it to be applied on all nodes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for traffic to stabilize before the steady measurement.
const WARM_UP: Duration = Duration::from_secs(3);

/// Delay between the starts of two nodes, so that they do not all connect at once as they do after the
/// restart.
const START_SPACING: Duration = Duration::from_millis(20);

/// Interval at which the test harness polls whether a state was reached.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct Fleet {
    size: FleetSize,
    cluster: ControlCluster,
    operator: OperatorClient,
    nodes: Vec<SimulatedNode>,
    agent: AgentProcess,
    revision_arrivals: Arc<RevisionArrivals>,
    counts: Arc<TrafficCounts>,
    revision: u64,
}

/// Runs a fleet of one size and returns its measurements.
///
/// # Errors
/// Fails when a process does not start, or when the nodes do not start, apply a configuration change or
/// reconnect before their timeout.
pub async fn run(
    options: &ScaleOptions,
    size: FleetSize,
    folder: &Path,
    runtimes: &HarnessRuntimes,
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
    let revision = operator.put(0, "first", &first, FORM_TIMEOUT).await?;
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
    fleet
        .start_nodes(options, runtimes, &seeds, &mut result)
        .await?;
    tokio::time::sleep(WARM_UP).await;
    fleet.measure_steady_traffic(options, &mut result).await;
    let grown = (resident_bytes() - memory_before).max(0.0);
    result.node_memory_bytes = grown / f64::from(size.nodes);
    fleet.measure_changes(options, &mut result).await?;
    let peak_before = largest(&fleet.cluster.samples(), |sample| sample.peak_bytes);
    if options.restart {
        result.return_seconds = Some(fleet.measure_full_restart().await?);
    }
    let peak_after = largest(&fleet.cluster.samples(), |sample| sample.peak_bytes);
    result.control_peak_bytes = peak_before.max(peak_after);
    result.machine_load = load_average();
    Ok(result)
}

impl Fleet {
    async fn start_nodes(
        &mut self,
        options: &ScaleOptions,
        runtimes: &HarnessRuntimes,
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
            let node =
                SimulatedNode::start(number, seeds, shape, runtimes, revision_arrivals, counts);
            self.nodes.push(node);
            tokio::time::sleep(START_SPACING).await;
        }
        self.wait_for_all("every node to have its complete state and a session", is_up)
            .await?;
        result.boot_seconds = start.elapsed().as_secs_f64();
        result.boot_bytes_per_node = self.bytes_in() / f64::from(self.size.nodes);
        Ok(())
    }

    async fn measure_steady_traffic(&mut self, options: &ScaleOptions, result: &mut SizeResult) {
        let _ = self.counts.take_quota_reply_ms();
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
        result.node_cpu_percent = percent(
            after.simulated_agents_cpu_seconds - before.simulated_agents_cpu_seconds,
            seconds,
        ) / nodes;
        result.real_agent_cpu_percent = percent(
            after.real_agent_cpu_seconds - before.real_agent_cpu_seconds,
            seconds,
        );
        result.real_agent_memory_bytes = after.real_agent_memory_bytes;
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
        result.quota_ms = Quantiles::of(&self.counts.take_quota_reply_ms());
        result.quota_granted = after.granted - before.granted;
        result.quota_refused = after.refused - before.refused;
        result.claims = after.claims - before.claims;
        result.claims_failed = after.claims_failed - before.claims_failed;
        result.fail_overs = after.fail_overs - before.fail_overs;
    }

    async fn measure_changes(
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
                .put(self.revision, &order, &changed, CHANGE_TIMEOUT);
            self.revision = put.await?;
            let revision = self.revision;
            let nodes = self.nodes.len();
            wait_until(
                "a configuration change to be applied on all nodes",
                CHANGE_TIMEOUT,
                || {
                    let applied = self.revision_arrivals.count(revision);
                    (applied >= nodes)
                        .then_some(())
                        .ok_or_else(|| format!("{applied} of {nodes}"))
                },
            )
            .await?;
            let delays = self.revision_arrivals.delays_ms(revision, sent);
            everywhere.push(delays.iter().copied().fold(0.0, f64::max));
            each.extend(delays);
        }
        result.change_ms = Quantiles::of(&each);
        result.change_everywhere_ms = Quantiles::of(&everywhere);
        Ok(())
    }

    async fn measure_full_restart(&mut self) -> Result<f64, ScaleError> {
        let start = Instant::now();
        self.cluster.restart()?;
        // Agents detect the lost connection within a tick. Without this delay they would still count as up.
        tokio::time::sleep(POLL_INTERVAL * 4).await;
        self.wait_for_all("every node to reconnect with a session", is_up)
            .await?;
        Ok(start.elapsed().as_secs_f64())
    }

    async fn wait_for_all(
        &self,
        what: &'static str,
        reached: fn(&SimulatedNode) -> bool,
    ) -> Result<(), ScaleError> {
        wait_until(what, NODES_TIMEOUT, || {
            let ready = self.nodes.iter().filter(|node| reached(node)).count();
            let all = self.nodes.len();
            (ready == all)
                .then_some(())
                .ok_or_else(|| format!("{ready} of {all}"))
        })
        .await
    }

    fn bytes_in(&self) -> f64 {
        let meters = self.nodes.iter().map(SimulatedNode::meter);
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
        let meters = || self.nodes.iter().map(SimulatedNode::meter);
        let agent = self.agent.sample();
        let samples = self.cluster.samples();
        let reports = self.nodes.iter().map(SimulatedNode::report);
        Totals {
            at: Instant::now(),
            bytes_in: self.bytes_in(),
            bytes_by_kind: self.bytes_by_kind(),
            bytes_out: meters().map(|meter| meter.bytes_out() as f64).sum(),
            frames: meters()
                .map(|meter| (meter.frames_in() + meter.frames_out()) as f64)
                .sum(),
            simulated_agents_cpu_seconds: ThreadTime::of_threads(AGENT_THREADS).cpu_seconds,
            real_agent_cpu_seconds: agent.map_or(0.0, |sample| sample.cpu_seconds),
            real_agent_memory_bytes: agent.map_or(0.0, |sample| sample.resident_bytes as f64),
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

fn is_up(node: &SimulatedNode) -> bool {
    let report = node.report();
    report.connected && report.complete && report.session_epoch != 0
}

async fn wait_until(
    what: &'static str,
    timeout: Duration,
    mut reached: impl FnMut() -> Result<(), String>,
) -> Result<(), ScaleError> {
    let start = Instant::now();
    loop {
        let detail = match reached() {
            Ok(()) => return Ok(()),
            Err(detail) => detail,
        };
        if start.elapsed() > timeout {
            return Err(ScaleError::NotReached {
                what,
                seconds: timeout.as_secs(),
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
