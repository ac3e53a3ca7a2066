//! Tests of the scenario file format.

use std::time::Duration;

use millford_simulation::scenario::{
    Bound, Choice, Fault, FaultClass, Figure, PartitionDirection, Scenario, Target, TargetKind,
    Topology,
};

const TEXT: &str = "
scenario example   # a comment
site reykjavik
site dakar
duration 40s
calls 5/s
quota 10/s burst 15
at 9s freeze proxy 2 for 500ms
at 5s cut core leader from core 2 outward for 20s
draw 3 from 5s to 20s over cores,network
expect adoption <= 2s
expect served >= 90%
";

#[test]
fn a_scenario_file_is_parsed_completely() {
    let scenario = Scenario::parse(TEXT).expect("the file is valid");
    assert_eq!(scenario.name, "example");
    assert_eq!(scenario.topology(0), Topology::REYKJAVIK);
    assert_eq!(scenario.topology(1), Topology::DAKAR);
    assert_eq!(scenario.workload.quota_burst, 15);
    let first = &scenario.faults[0];
    assert_eq!(first.at, Duration::from_secs(5));
    let expected = Fault::Partition {
        target: Target {
            kind: TargetKind::ControlNode,
            choice: Choice::Leader,
        },
        from: Some(Target {
            kind: TargetKind::ControlNode,
            choice: Choice::Number(2),
        }),
        direction: PartitionDirection::Outward,
        length: Duration::from_secs(20),
    };
    assert_eq!(first.fault, expected);
    assert_eq!(
        scenario.draws[0].classes,
        [FaultClass::ControlNodes, FaultClass::Network]
    );
    assert_eq!(scenario.expectations[0].figure, Figure::Adoption);
    assert_eq!(scenario.expectations[0].value, 2000);
    assert_eq!(scenario.expectations[1].bound, Bound::AtLeast);
}

#[test]
fn parse_errors_name_their_line() {
    let cases = [
        ("scenario a\nsite small\nat 5s explode core 1", 3),
        ("scenario a\nsite nowhere", 2),
        ("scenario a\nsite small\nat 5s kill core 1 for 3", 3),
        ("scenario a\nsite small extra", 2),
        ("scenario a\nsite small\nexpect speed <= 2s", 3),
        ("site small", 1),
    ];
    for (text, line) in cases {
        let error = Scenario::parse(text).expect_err("the file is invalid");
        assert_eq!(error.line, line, "{text}");
    }
}
