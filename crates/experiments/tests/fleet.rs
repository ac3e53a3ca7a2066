//! Tests of the simulated fleet: equal seeds reproduce the figures, every request is counted exactly once, and
//! reports and arguments are handled.

use millford_backend_model::ModelProfile;
use millford_core::{Duration, MonotonicTime};
use millford_experiments::fleet::{
    Fault, FaultKind, FleetMetrics, FleetOptions, PlacementOptions, Policy, RetryRules, Workload,
    simulate,
};
use millford_experiments::report::{Chart, Report, Series, Table};
use millford_experiments::suite::site::{heavy_load, host, plain_fleet};
use millford_placement::PlacerOptions;

fn fleet(seed: u64, policy: Policy, rate: f64) -> FleetOptions {
    let hosts = (0..6)
        .map(|_| host(&[("heavy", ModelProfile::heavy())]))
        .collect();
    let workload = Workload {
        loads: vec![heavy_load(rate)],
        changes: Vec::new(),
    };
    FleetOptions {
        warm_up: Duration::from_secs(2),
        length: Duration::from_secs(15),
        ..plain_fleet(seed, policy, hosts, workload)
    }
}

/// Formats the figures that the reports are based on, to compare runs.
fn figures(metrics: &FleetMetrics) -> String {
    format!(
        "{} {} {} {} {} {} {} {:.9} {:.9} {:?}",
        metrics.arrived,
        metrics.completed,
        metrics.timed_out,
        metrics.failed,
        metrics.retries,
        metrics.cached_tokens,
        metrics.first_token_ms(0.99),
        metrics.mean_utilization,
        metrics.tail_utilization,
        metrics.good_by_second,
    )
}

const POLICIES: [Policy; 4] = [
    Policy::RoundRobin,
    Policy::HostTotal,
    Policy::StaleReported,
    Policy::Millford,
];

#[test]
fn equal_seeds_reproduce_the_figures_and_other_seeds_change_them() {
    for policy in POLICIES {
        let first = figures(&simulate(fleet(5, policy, 20.0)));
        assert_eq!(first, figures(&simulate(fleet(5, policy, 20.0))));
        assert_ne!(first, figures(&simulate(fleet(6, policy, 20.0))));
    }
}

#[test]
fn every_policy_sees_the_same_arrivals() {
    let arrivals = |policy| simulate(fleet(3, policy, 20.0)).arrived_by_second;
    let first = arrivals(Policy::RoundRobin);
    assert!(POLICIES.into_iter().all(|policy| arrivals(policy) == first));
}

#[test]
fn every_request_ends_in_exactly_one_way() {
    for rate in [10.0, 60.0] {
        let metrics = simulate(fleet(1, Policy::Millford, rate));
        let ended = metrics.completed + metrics.timed_out + metrics.failed + metrics.truncated;
        // Streams that are still open when the simulation ends are not counted as ended.
        assert!(ended <= metrics.arrived);
        assert!(metrics.arrived - ended <= metrics.arrived / 100);
    }
}

#[test]
fn an_overloaded_site_times_out_and_a_lightly_loaded_one_does_not() {
    assert!(simulate(fleet(1, Policy::Millford, 80.0)).timeout_rate() > 0.1);
    assert!(simulate(fleet(1, Policy::Millford, 8.0)).timeout_rate() < 0.001);
}

#[test]
fn retries_stay_within_the_budget_while_backends_crash() {
    let mut options = fleet(2, Policy::Millford, 25.0);
    options.retries = RetryRules {
        attempt_timeout: Some(Duration::from_millis(500)),
        max_attempts: 4,
        budgeted: true,
        ejects: true,
    };
    options.faults = (0..3)
        .map(|host| Fault {
            at: MonotonicTime::from_millis(4000),
            kind: FaultKind::Kill { host },
        })
        .collect();
    let metrics = simulate(options);
    assert!(metrics.retries > 0);
    assert!(metrics.retry_share() <= 0.2, "{}", metrics.retry_share());
}

#[test]
fn a_retired_backend_receives_no_request_after_three_seconds_and_drains_in_time() {
    let mut options = fleet(4, Policy::Millford, 12.0);
    options.placement = Some(PlacementOptions {
        placer: PlacerOptions::default(),
        load_core_seconds: 0.0,
    });
    options.faults = vec![Fault {
        at: MonotonicTime::from_millis(5000),
        kind: FaultKind::Retire { host: 2 },
    }];
    let drain = Duration::from_millis(u64::from(options.pool.drain_ms));
    let metrics = simulate(options);
    assert!(metrics.longest_send_after_retirement <= Duration::from_secs(3));
    assert!(metrics.longest_drain <= drain + Duration::from_secs(1));
    assert!(metrics.longest_drain > Duration::ZERO);
}

#[test]
fn a_report_is_written_as_text_json_and_plot() {
    let mut report = Report::new("trial", 2);
    let mut table = Table::new("Figures", &["name", "value"]);
    table.add(vec!["one".to_owned(), "1.0".to_owned()]);
    report.tables.push(table);
    report.charts.push(Chart {
        name: "trial".to_owned(),
        title: "Trial".to_owned(),
        x_label: "x".to_owned(),
        y_label: "y".to_owned(),
        series: vec![Series::new("line", [(0.0, 1.0), (1.0, 2.0)])],
    });
    let folder = tempfile::tempdir().expect("a folder");
    report.write(folder.path()).expect("the report is written");
    let read = |name: &str| std::fs::read_to_string(folder.path().join(name)).expect("a file");
    assert!(read("trial.txt").contains("millford-lab experiment trial --seeds 2"));
    let json: serde_json::Value = serde_json::from_str(&read("trial.json")).expect("JSON");
    assert_eq!(json["tables"][0]["rows"][0][1], "1.0");
    assert!(read("trial.svg").contains("<svg"));
}

#[test]
fn invalid_arguments_fail() {
    let run = |arguments: &[&str]| {
        let arguments: Vec<String> = arguments.iter().map(|word| (*word).to_owned()).collect();
        let code = millford_experiments::run(&arguments);
        format!("{code:?}")
    };
    let success = format!("{:?}", std::process::ExitCode::SUCCESS);
    assert_eq!(run(&["--help"]), success);
    assert_ne!(run(&[]), success);
    assert_ne!(run(&["unknown"]), success);
    assert_ne!(run(&["balance", "--seeds", "0"]), success);
    assert_ne!(run(&["balance", "--seeds", "many"]), success);
}
