//! Runs the scenario files of the repository with a few seeds each. Runs over many seeds are left to
//! `millford-lab scenarios`.

use std::path::Path;
use std::sync::OnceLock;

use millford_simulation::checkers::Guarantee;
use millford_simulation::runner::{Summary, load_scenarios, sweep};

/// Number of seeds of every scenario other than the mix.
const SCENARIO_SEEDS: u64 = 1;
/// Number of seeds of the mix.
const MIX_SEEDS: u64 = 20;
const MIX_NAME: &str = "mix";

fn folder() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn jobs() -> usize {
    std::thread::available_parallelism().map_or(2, std::num::NonZeroUsize::get)
}

fn failures(summary: &Summary) -> Vec<String> {
    let failures = summary.failures.iter();
    let lines = failures.map(|failure| {
        let first = &failure.results.violations[0];
        let seed = failure.seed;
        format!(
            "millford-lab scenarios --file scenarios/{}.scn --from {seed} --seeds 1: {first:?}",
            summary.name
        )
    });
    lines.collect()
}

/// Returns the summaries of every scenario other than the mix; they run once for all tests of this file.
fn scenarios() -> &'static [Summary] {
    static SUMMARIES: OnceLock<Vec<Summary>> = OnceLock::new();
    SUMMARIES.get_or_init(|| {
        let files = load_scenarios(&folder()).expect("the scenario files are valid");
        assert!(files.len() > 30, "too few scenario files found");
        let others = files.iter().filter(|file| file.scenario.name != MIX_NAME);
        others
            .map(|file| sweep(&file.scenario, 0, SCENARIO_SEEDS, jobs()))
            .collect()
    })
}

/// Returns the violations of all guarantees other than the quota guarantee.
fn violations_except_quota(summary: &Summary) -> Vec<String> {
    let violations = summary.failures.iter().flat_map(|failure| {
        let violations = failure.results.violations.iter();
        violations.map(move |violation| (failure.seed, violation))
    });
    violations
        .filter(|(_, violation)| violation.guarantee != Guarantee::Quota)
        .map(|(seed, violation)| format!("{} seed {seed}: {violation:?}", summary.name))
        .collect()
}

#[test]
fn every_scenario_keeps_every_guarantee() {
    let violations: Vec<_> = scenarios().iter().flat_map(failures).collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Passes even while a quota violation is a known failure, so that violations of other guarantees are still
/// noticed.
#[test]
fn no_scenario_violates_a_guarantee_other_than_quota() {
    let violations: Vec<_> = scenarios()
        .iter()
        .flat_map(violations_except_quota)
        .collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Returns the summary of the mix; it runs once for all tests of this file.
fn mix() -> &'static Summary {
    static SUMMARY: OnceLock<Summary> = OnceLock::new();
    SUMMARY.get_or_init(|| {
        let path = folder().join("mix.scn");
        let files = load_scenarios(&path).expect("the mix scenario is valid");
        sweep(&files[0].scenario, 0, MIX_SEEDS, jobs())
    })
}

#[test]
fn the_mix_keeps_every_guarantee() {
    let summary = mix();
    assert_eq!(summary.seeds, MIX_SEEDS);
    let violations = failures(summary);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Passes even while a quota violation is a known failure, so that violations of other guarantees are still
/// noticed.
#[test]
fn the_mix_violates_no_guarantee_other_than_quota() {
    let violations = violations_except_quota(mix());
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Only checks the statements of these scenarios; running them takes too long for a test and is left to
/// `millford-lab scenarios`.
#[test]
fn scenarios_of_large_fleets_send_requests_to_every_proxy_node() {
    let files = load_scenarios(&folder().join("large")).expect("the scenario files are valid");
    let proxy_nodes: Vec<u16> = files
        .iter()
        .map(|file| file.scenario.topology(0).proxy_nodes)
        .collect();
    assert_eq!(proxy_nodes, [90, 300]);
    for file in &files {
        let requests = file.scenario.workload.requests_per_second;
        let proxy_nodes = u32::from(file.scenario.topology(0).proxy_nodes);
        // With fewer requests, a proxy node could get none within 12 s and be reported as not serving.
        assert!(
            requests > proxy_nodes,
            "{}: {requests} requests a second to {proxy_nodes} proxy nodes",
            file.scenario.name
        );
    }
}
