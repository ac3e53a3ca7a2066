//! Chart of the lost value over time.

use millford_decisions::{DecisionRecord, Ending, LossReport};
use millford_lab::commands::loss_chart::draw_losses;

fn late_at(at_ms: u64) -> DecisionRecord {
    DecisionRecord {
        at_ms,
        node: "node".to_owned(),
        zone: "zone".to_owned(),
        route: "ask".to_owned(),
        tenant: String::new(),
        prompt_tokens: 100,
        output_tokens: 10,
        target_ms: 500,
        gap_target_ms: 0,
        attempts: Vec::new(),
        first_bytes_ms: Some(700),
        longest_gap_ms: 0,
        resumed: false,
        ended_ms: 900,
        ending: Ending::Complete,
    }
}

#[test]
fn the_chart_shows_the_losses_and_renders_an_empty_report() {
    let report = LossReport::of(&[late_at(3000), late_at(5000)], 0.25);
    assert!(draw_losses(&report).unwrap().contains("<svg"));
    let empty = LossReport::default();
    assert!(draw_losses(&empty).is_ok());
}
