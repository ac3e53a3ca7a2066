fn main() {
    use millford_backend_model::ModelProfile;
    use millford_experiments::{fleet::*, suite::site::*};
    for rate in [10.0, 20.0, 30.0, 40.0, 46.0, 52.0] {
        let hosts = (0..12)
            .map(|_| host(&[("heavy", ModelProfile::heavy())]))
            .collect();
        let workload = Workload {
            loads: vec![heavy_load(rate)],
            changes: vec![],
        };
        let mut fleet = plain_fleet(1, Policy::Millford, hosts, workload);
        fleet.placement = Some(PlacementOptions {
            placer: millford_placement::PlacerOptions::default(),
            load_core_seconds: 0.0,
        });
        let m = simulate(fleet);
        println!(
            "{rate} true {:.3} est {:.3} p99 {:.0}",
            m.mean_utilization,
            m.estimated_utilization,
            m.first_token_ms(0.99)
        );
    }
}
