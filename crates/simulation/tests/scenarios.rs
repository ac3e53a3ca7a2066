//! The scenario files of the repository, a few seeds each; the sweeps are the command's.

use std::path::Path;
use std::sync::OnceLock;

use millford_simulation::checkers::Guarantee;
use millford_simulation::runner::{Summary, load_scenarios, sweep};

/// Seeds of every scenario but the mix.
const FEW: u64 = 1;
/// Seeds of the mix.
const MIX: u64 = 20;
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
        let first = &failure.verdict.violations[0];
        let seed = failure.seed;
        format!(
            "millford-lab scenarios --file scenarios/{}.scn --from {seed} --seeds 1: {first:?}",
            summary.name
        )
    });
    lines.collect()
}

/// Every scenario but the mix, run once for all tests of this file.
fn scenarios() -> &'static [Summary] {
    static SUMMARIES: OnceLock<Vec<Summary>> = OnceLock::new();
    SUMMARIES.get_or_init(|| {
        let files = load_scenarios(&folder()).expect("the scenario files are right");
        assert!(files.len() > 30, "the files are there");
        let others = files.iter().filter(|file| file.scenario.name != MIX_NAME);
        others
            .map(|file| sweep(&file.scenario, 0, FEW, jobs()))
            .collect()
    })
}

/// Violations of other guarantees than that of quotas.
fn violations_beside_quotas(summary: &Summary) -> Vec<String> {
    let violations = summary.failures.iter().flat_map(|failure| {
        let violations = failure.verdict.violations.iter();
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

/// Stays green while a fault of the quotas is known, so that no other fault hides behind it.
#[test]
fn no_scenario_breaks_a_guarantee_but_that_of_quotas() {
    let violations: Vec<_> = scenarios()
        .iter()
        .flat_map(violations_beside_quotas)
        .collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// The mix over its seeds, run once for all tests of this file.
fn mix() -> &'static Summary {
    static SUMMARY: OnceLock<Summary> = OnceLock::new();
    SUMMARY.get_or_init(|| {
        let path = folder().join("mix.scn");
        let files = load_scenarios(&path).expect("the mix is right");
        sweep(&files[0].scenario, 0, MIX, jobs())
    })
}

#[test]
fn the_mix_keeps_every_guarantee() {
    let summary = mix();
    assert_eq!(summary.seeds, MIX);
    let violations = failures(summary);
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Stays green while a fault of the quotas is known, so that no other fault hides behind it.
#[test]
fn the_mix_breaks_no_guarantee_but_that_of_quotas() {
    let violations = violations_beside_quotas(mix());
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

/// Too long for a test run: the command plays them. What they say is checked here.
#[test]
fn scenarios_of_large_fleets_send_requests_to_every_proxy_node() {
    let files = load_scenarios(&folder().join("large")).expect("the scenario files are right");
    let proxy_nodes: Vec<u16> = files
        .iter()
        .map(|file| file.scenario.site(0).proxy_nodes)
        .collect();
    assert_eq!(proxy_nodes, [90, 300]);
    for file in &files {
        let requests = file.scenario.workload.requests_per_second;
        let proxy_nodes = u32::from(file.scenario.site(0).proxy_nodes);
        // A proxy node without a client request in 12 s would count as one that does not serve.
        assert!(
            requests > proxy_nodes,
            "{}: {requests} requests a second to {proxy_nodes} proxy nodes",
            file.scenario.name
        );
    }
}
