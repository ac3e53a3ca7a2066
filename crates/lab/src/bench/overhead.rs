//! `millford-lab bench overhead`: measures the added latency, throughput and memory use of one proxy.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options;
use serde::Serialize;

use super::concurrent_streams::{self, ConcurrentStreams};
use super::latency::{AddedLatency, Times, first_token_time, lookup_time};
use super::throughput::{self, Throughput};
use crate::arguments::{optional, parse, value};
use crate::caller::{CompletionRequest, LookupRequest};
use crate::commands::backend::{INTERRUPTED_STATUS, wait_for_termination_signal};
use crate::emulator::options::BackendKind;
use crate::fleet::binaries::Binaries;
use crate::fleet::site::SMALL_MODEL;
use crate::fleet::{Fleet, FleetError, Site};

/// Number of concurrent callers in the throughput measurement.
const CALLERS: usize = 64;
/// Duration of the throughput measurement.
const LENGTH: Duration = Duration::from_secs(5);
/// Chunks of a stream that is to stay open: more than are generated during the measurement.
const UNENDING_CHUNKS: u64 = 20_000;

/// Results of all measurements, as written to the report.
#[derive(Clone, Debug, Serialize)]
struct OverheadReport {
    lookups: AddedLatency,
    first_tokens: AddedLatency,
    throughput: Throughput,
    #[serde(rename = "held")]
    held: ConcurrentStreams,
}

/// Runs the command.
///
/// # Errors
/// The command line is invalid, the fleet does not start, a process ends during the measurement, or the report
/// cannot be written.
pub async fn run(arguments: &[String]) -> Result<ExitCode, FleetError> {
    let mut options = Options::new();
    options.optopt("", "lookups", "number of pairs of lookups", "NUMBER");
    options.optopt("", "streams", "number of pairs of streams", "NUMBER");
    options.optopt(
        "",
        "held",
        "number of streams to keep open at once",
        "NUMBER",
    );
    options.optopt("", "json", "file for the report", "FILE");
    let Some(matches) = parse("bench overhead", &mut options, arguments)? else {
        return Ok(ExitCode::SUCCESS);
    };
    let lookups = value(&matches, "lookups", 2_000)?;
    let streams = value(&matches, "streams", 200)?;
    let held = value(&matches, "held", 2_000)?;
    let json: Option<PathBuf> = optional(&matches, "json")?;
    tokio::select! {
        report = measure(lookups, streams, held) => {
            let report = report?;
            let text = serde_json::to_vec_pretty(&report).unwrap_or_default();
            if let Some(path) = json {
                std::fs::write(path, text).map_err(FleetError::io("writing the report"))?;
            }
            Ok(ExitCode::SUCCESS)
        }
        end = wait_for_termination_signal() => end.map(|()| ExitCode::from(INTERRUPTED_STATUS)),
    }
}

async fn measure(lookups: u64, streams: u64, held: usize) -> Result<OverheadReport, FleetError> {
    let mut fleet =
        Fleet::start(Site::Bench.plan(), Binaries::beside_current_executable()?).await?;
    fleet.configure().await?;
    let report = measure_on(&fleet, lookups, streams, held).await;
    if report.is_err() {
        println!("logs are kept in {}", fleet.keep_folder().display());
    }
    fleet.stop().await;
    report
}

async fn measure_on(
    fleet: &Fleet,
    lookups: u64,
    streams: u64,
    held: usize,
) -> Result<OverheadReport, FleetError> {
    let lookups = measure_lookups(fleet, lookups).await?;
    println!("{}", lookups.text("lookup, complete"));
    let first_tokens = measure_streams(fleet, streams).await?;
    println!("{}", first_tokens.text("stream, first token"));
    let proxy = fleet.proxy_address(0);
    let proxy_id = fleet.proxy_nodes[0].proxy.id().unwrap_or_default();
    let proxy_ended = || FleetError::Operator("the proxy exited during the measurement".to_owned());
    let request = lookup(fleet, 0, "throughput");
    let throughput = throughput::measure(proxy, proxy_id, CALLERS, LENGTH, &request)
        .await
        .ok_or_else(proxy_ended)?;
    println!(
        "lookups through one proxy  {:.0}/s with {CALLERS} callers, {:.0} per core second, failed {}",
        throughput.per_second, throughput.per_core_second, throughput.failed
    );
    let request = question(fleet, 0, "held", UNENDING_CHUNKS);
    let held = concurrent_streams::measure(proxy, proxy_id, held, &request)
        .await
        .ok_or_else(proxy_ended)?;
    println!(
        "streams held by one proxy  {} of {} requested, resident {} KiB before, {} KiB with them",
        held.held, held.requested, held.resident_before_kib, held.resident_kib
    );
    Ok(OverheadReport {
        lookups,
        first_tokens,
        throughput,
        held,
    })
}

async fn measure_lookups(fleet: &Fleet, pairs: u64) -> Result<AddedLatency, FleetError> {
    let proxy = fleet.proxy_address(0);
    let direct = backend_address(fleet, BackendKind::Lookup)?;
    let mut times = Times::default();
    for number in 0..pairs {
        let by_proxy = lookup_time(proxy, &lookup(fleet, number, "proxy")).await;
        let direct = lookup_time(direct, &lookup(fleet, number, "direct")).await;
        times.record(by_proxy, direct);
    }
    Ok(times.summary())
}

async fn measure_streams(fleet: &Fleet, pairs: u64) -> Result<AddedLatency, FleetError> {
    let proxy = fleet.proxy_address(0);
    let direct = backend_address(fleet, BackendKind::Model)?;
    let mut times = Times::default();
    for number in 0..pairs {
        let by_proxy = first_token_time(proxy, &question(fleet, number, "proxy", 2)).await;
        let direct = first_token_time(direct, &question(fleet, number, "direct", 2)).await;
        times.record(by_proxy, direct);
    }
    Ok(times.summary())
}

fn backend_address(fleet: &Fleet, kind: BackendKind) -> Result<std::net::SocketAddr, FleetError> {
    let backend = fleet
        .backends
        .iter()
        .find(|backend| backend.spec.kind == kind);
    let backend = backend.ok_or_else(|| {
        FleetError::Operator("the fleet has no backend of the required kind".to_owned())
    })?;
    Ok(backend.spec.address)
}

fn lookup(fleet: &Fleet, number: u64, marker_prefix: &str) -> LookupRequest {
    LookupRequest {
        marker: format!("{marker_prefix}-{number}"),
        tenant: "load".to_owned(),
        key: fleet.plan.tenant_keys[0].to_owned(),
        path: format!("{}entry-{number}", fleet.plan.lookup_prefix),
    }
}

fn question(fleet: &Fleet, number: u64, marker_prefix: &str, chunks: u64) -> CompletionRequest {
    CompletionRequest {
        marker: format!("{marker_prefix}-{number}"),
        tenant: "load".to_owned(),
        key: fleet.plan.tenant_keys[0].to_owned(),
        model: SMALL_MODEL.to_owned(),
        shared_prefix: String::new(),
        question: "Which years were the driest?".to_owned(),
        stream: true,
        chunks,
        session: None,
        idempotency_key: None,
        deadline_ms: None,
    }
}
