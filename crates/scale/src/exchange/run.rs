//! Measures the exchange at each fleet size in sequence and writes the report.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::exchange_figures::ExchangeFigures;
use super::growth::Growth;
use super::proxy_fleet::ProxyFleet;
use super::traffic::send_requests;
use crate::error::ScaleError;
use crate::report::write_files;

/// Fleet sizes that are measured, in proxies.
pub const SIZES: [usize; 4] = [10, 30, 100, 300];

/// Worker threads of the runtime that all proxies share.
const THREADS: usize = 4;

/// Time for traffic to stabilize before the measurement.
const WARM_UP: Duration = Duration::from_secs(3);

/// Name of a fitted figure and the function that extracts it.
type Figure = (&'static str, fn(&ExchangeFigures) -> f64);

/// Figures whose growth is fitted.
const FITTED: [Figure; 3] = [
    ("datagrams of a proxy", |figures| figures.datagrams),
    ("bytes of a proxy", |figures| figures.bytes),
    ("bytes to other zones", |figures| {
        figures.bytes_to_other_zones
    }),
];

/// Measures all sizes, prints the results and writes `exchange.txt` and `exchange.json` into `output`.
///
/// # Errors
/// Fails when a socket cannot be opened or the report cannot be written.
pub fn run(requests_per_node: f64, steady: Duration, output: &Path) -> Result<(), ScaleError> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .map_err(ScaleError::system("start the runtime"))?;
    let mut all = Vec::new();
    for nodes in SIZES {
        let figures = runtime.block_on(measure(nodes, requests_per_node, steady))?;
        println!("{}", line(&figures));
        all.push(figures);
    }
    let summary = summary(&all);
    print!("{summary}");
    let made = ScaleError::system("create the output folder");
    std::fs::create_dir_all(output).map_err(made)?;
    let lines: Vec<String> = all.iter().map(line).collect();
    let text = format!("{}\n{summary}", lines.join("\n"));
    write_files(output, "exchange", &text, &all)
}

async fn measure(
    nodes: usize,
    requests_per_node: f64,
    steady: Duration,
) -> Result<ExchangeFigures, ScaleError> {
    let fleet = ProxyFleet::start(nodes).await?;
    let mut traffic = JoinSet::new();
    for node in &fleet.nodes {
        traffic.spawn(send_requests(node.clone(), requests_per_node));
    }
    tokio::time::sleep(WARM_UP).await;
    let (before, degraded_before, began) =
        (fleet.counts(), fleet.degraded_decisions(), Instant::now());
    tokio::time::sleep(steady).await;
    let seconds = began.elapsed().as_secs_f64();
    let after = fleet.counts();
    let degraded = fleet.degraded_decisions() - degraded_before;
    let admissions = requests_per_node * seconds * nodes as f64;
    Ok(ExchangeFigures {
        degraded_share: degraded as f64 / admissions,
        ..ExchangeFigures::between(&before, &after, seconds)
    })
}

/// Formats the figures of one size as a line.
#[must_use]
pub fn line(figures: &ExchangeFigures) -> String {
    format!(
        "{:4} proxies: {:6.1} datagrams/s sent, {:8.0} bytes/s, {:8.0} to other zones; busiest {:6.1} \
         datagrams/s both ways; {:.2}% decided without an owner's reply",
        figures.nodes,
        figures.datagrams,
        figures.bytes,
        figures.bytes_to_other_zones,
        figures.busiest_datagrams,
        figures.degraded_share * 100.0,
    )
}

/// Formats how each fitted figure grows with the fleet.
#[must_use]
pub fn summary(all: &[ExchangeFigures]) -> String {
    let mut text = String::new();
    for (name, figure) in FITTED {
        let points: Vec<(usize, f64)> = all
            .iter()
            .map(|figures| (figures.nodes, figure(figures)))
            .collect();
        // Writing to a string cannot fail.
        let _ = match Growth::of(&points) {
            Some(growth) => writeln!(
                text,
                "{name}: grow with nodes^({:.2} +- {:.2})",
                growth.exponent, growth.standard_error
            ),
            None => writeln!(text, "{name}: too few sizes to fit the growth"),
        };
    }
    text
}
