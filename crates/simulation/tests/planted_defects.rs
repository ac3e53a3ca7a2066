//! Tests that each checker detects the defect it is for: a scenario passes without the defect and fails
//! with it.

use millford_simulation::checkers::Guarantee;
use millford_simulation::world::InjectedDefect;

mod fixture;

/// A scenario with enough traffic, orders and faults to expose every defect.
const TEXT: &str = "
scenario planted
site small
duration 40s
calls 20/s
quota 10/s burst 10
order-every 1s
at 4s answers cut for 6s
at 5s race
at 6s revoke
at 8s retire model 1
at 12s kill front 1 for 1s
at 15s answers lost for 6s
at 17s kill cores for 1s
";

fn violated(defect: Option<InjectedDefect>, seed: u64) -> Vec<Guarantee> {
    let report = fixture::run(TEXT, seed, defect);
    let violations = report.results.violations.into_iter();
    violations.map(|violation| violation.guarantee).collect()
}

#[test]
fn without_a_defect_no_guarantee_is_violated() {
    assert_eq!(violated(None, 1), []);
}

#[test]
fn each_injected_defect_is_reported_by_its_checker() {
    let missed: Vec<_> = InjectedDefect::ALL
        .into_iter()
        .filter(|(defect, guarantee)| !violated(Some(*defect), 1).contains(guarantee))
        .collect();
    assert_eq!(missed, [], "defects that their checker did not report");
}
