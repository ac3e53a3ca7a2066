//! Planted histories: each check finds the break that it is for, and accepts the same history without it.

use std::net::SocketAddr;
use std::time::Duration;

use millford_platform_soak::checks::{Rule, violations};
use millford_platform_soak::configuration::{Contender, Generation, TenantList};
use millford_platform_soak::history::{
    BackendDrain, ConfigRead, Ending, History, MachineEvent, MachineId, Moment, Order, OrderState,
    PeakMemory, Request, Run, Target,
};

fn seconds(seconds: f64) -> Moment {
    Duration::from_secs_f64(seconds)
}

fn server(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 20, 2, number], 10_000))
}

fn version(generation: u64) -> u64 {
    Generation(generation).version(Contender::First)
}

/// Two machines that run from the start, and generations 1 to 4 acknowledged at 1, 11, 21 and 31 s.
fn calm_history() -> History {
    let mut history = History {
        calm_since: seconds(60.0),
        reads: vec![ConfigRead {
            server: server(1),
            sent: seconds(70.0),
            version: Some(version(4)),
        }],
        ..History::default()
    };
    for machine in [
        MachineId::Front(0),
        MachineId::Front(1),
        MachineId::Control(0),
    ] {
        history
            .machines
            .push((seconds(0.0), machine, MachineEvent::Started));
    }
    for number in 1..=4 {
        let sent = seconds(number as f64 * 10.0 - 9.5);
        history.orders.push(Order {
            generation: Generation(number),
            version: version(number),
            base: version(number - 1),
            sent,
            state: OrderState::Acknowledged(sent + seconds(0.5)),
        });
    }
    history
}

fn probe(sent: f64, route: u64, key: u64, ending: Ending) -> Request {
    Request {
        id: format!("probe-{sent}"),
        front: 0,
        target: Target::Probe {
            route: Generation(route),
            key: Generation(key),
        },
        sent: seconds(sent),
        ended: seconds(sent + 0.05),
        ending,
    }
}

fn broken(history: &History) -> Vec<Rule> {
    let mut rules: Vec<Rule> = violations(history).iter().map(|found| found.rule).collect();
    rules.dedup();
    rules
}

#[test]
fn a_calm_history_breaks_no_rule() {
    let mut history = calm_history();
    history
        .requests
        .push(probe(5.0, 1, 1, Ending::Answered(200)));
    history
        .requests
        .push(probe(25.0, 3, 3, Ending::Answered(200)));
    history
        .requests
        .push(probe(35.0, 1, 4, Ending::Answered(404)));
    history
        .requests
        .push(probe(36.0, 4, 1, Ending::Answered(401)));
    assert_eq!(broken(&history), []);
}

#[test]
fn a_refused_request_on_a_route_that_was_added_in_time_breaks_config() {
    let mut history = calm_history();
    history
        .requests
        .push(probe(13.5, 2, 2, Ending::Answered(404)));
    assert_eq!(broken(&history), [Rule::Config]);
}

#[test]
fn a_route_that_was_added_just_now_may_still_be_unknown() {
    let mut history = calm_history();
    history
        .requests
        .push(probe(12.5, 2, 2, Ending::Answered(404)));
    assert_eq!(broken(&history), []);
}

#[test]
fn a_run_with_a_dropped_key_breaks_config() {
    let mut history = calm_history();
    history
        .requests
        .push(probe(34.0, 4, 1, Ending::Answered(200)));
    assert_eq!(broken(&history), [Rule::Config]);
}

#[test]
fn a_machine_out_of_touch_is_not_bound() {
    for event in [MachineEvent::Terminated, MachineEvent::Thawed] {
        let mut history = calm_history();
        history
            .machines
            .push((seconds(32.0), MachineId::Front(0), event));
        history
            .requests
            .push(probe(34.0, 1, 1, Ending::Answered(200)));
        assert_eq!(broken(&history), [], "{event:?}");
    }
}

#[test]
fn a_machine_is_bound_again_after_the_contact_time_although_it_was_told_to_end() {
    let mut history = calm_history();
    let terminated = (seconds(32.0), MachineId::Front(0), MachineEvent::Terminated);
    history.machines.push(terminated);
    history
        .requests
        .push(probe(35.5, 1, 1, Ending::Answered(200)));
    assert_eq!(broken(&history), [Rule::Config]);
}

#[test]
fn unstable_control_machines_extend_the_time_by_the_stretch() {
    let mut history = calm_history();
    let killed = (seconds(33.0), MachineId::Control(0), MachineEvent::Killed);
    history.machines.push(killed);
    history
        .requests
        .push(probe(34.0, 1, 1, Ending::Answered(200)));
    assert_eq!(broken(&history), []);
    history
        .machines
        .push((seconds(37.0), MachineId::Control(0), MachineEvent::Started));
    history
        .requests
        .push(probe(39.0, 1, 1, Ending::Answered(200)));
    assert_eq!(broken(&history), [Rule::Config]);
}

#[test]
fn an_older_generation_after_a_newer_one_breaks_config_within_one_life_only() {
    let mut history = calm_history();
    history
        .requests
        .push(probe(31.2, 4, 4, Ending::Answered(200)));
    history
        .requests
        .push(probe(31.8, 1, 1, Ending::Answered(200)));
    assert_eq!(broken(&history), [Rule::Config]);
    let restarted = (seconds(31.5), MachineId::Front(0), MachineEvent::Started);
    history.machines.push(restarted);
    assert_eq!(broken(&history), []);
}

#[test]
fn a_route_that_a_machine_has_served_must_not_be_unknown_to_it_before_a_newer_generation_drops_it()
{
    let mut history = calm_history();
    history
        .requests
        .push(probe(31.2, 4, 4, Ending::Answered(200)));
    history
        .requests
        .push(probe(31.8, 4, 4, Ending::Answered(404)));
    assert_eq!(broken(&history), [Rule::Config]);
}

#[test]
fn an_older_read_a_refused_order_and_a_missing_read_break_config() {
    let mut old = calm_history();
    old.reads[0].version = Some(version(3));
    assert_eq!(broken(&old), [Rule::Config]);
    let mut refused = calm_history();
    refused.orders[2].state = OrderState::Refused(412);
    assert_eq!(broken(&refused), [Rule::Config]);
    let mut missing = calm_history();
    missing.reads.clear();
    assert_eq!(broken(&missing), [Rule::Config]);
}

#[test]
fn one_of_two_rivals_is_acknowledged_and_the_other_may_be_refused() {
    let mut history = calm_history();
    let mut rival = history.orders[3];
    rival.version += 1;
    rival.state = OrderState::Refused(412);
    history.orders.push(rival);
    assert_eq!(broken(&history), []);
    history.orders[4].state = history.orders[3].state;
    history.reads[0].version = Some(history.orders[4].version);
    assert_eq!(broken(&history), [Rule::Config]);
}

fn run_of(request: &Request, backend: &str) -> Run {
    Run {
        request: request.id.clone(),
        backend: backend.to_owned(),
        at: request.sent + seconds(0.01),
        broke_off: false,
    }
}

fn unsafe_request(sent: f64, ending: Ending) -> Request {
    Request {
        target: Target::Unsafe,
        ..probe(sent, 1, 1, ending)
    }
}

#[test]
fn a_run_on_a_backend_that_drains_for_long_breaks_drain() {
    let mut history = calm_history();
    let request = unsafe_request(8.0, Ending::Answered(200));
    history.runs.push(run_of(&request, "backend-1"));
    history.requests.push(request);
    history.drains.push(BackendDrain {
        backend: "backend-1".to_owned(),
        since: seconds(5.5),
    });
    assert_eq!(broken(&history), []);
    history.drains[0].since = seconds(4.5);
    assert_eq!(broken(&history), [Rule::Drain]);
}

#[test]
fn a_second_run_breaks_twice_and_a_run_after_a_refusal_breaks_refused() {
    let mut history = calm_history();
    let request = unsafe_request(8.0, Ending::Answered(503));
    history.runs.push(run_of(&request, "backend-1"));
    history.requests.push(request.clone());
    assert_eq!(broken(&history), [Rule::Refused]);
    history.runs.push(run_of(&request, "backend-2"));
    assert_eq!(broken(&history), [Rule::Twice]);
}

#[test]
fn an_answer_that_a_terminated_machine_breaks_off_is_lost_unless_its_backend_did() {
    let mut history = calm_history();
    let request = unsafe_request(8.5, Ending::Broken);
    let terminated = (seconds(8.0), MachineId::Front(0), MachineEvent::Terminated);
    history.machines.push(terminated);
    history.runs.push(run_of(&request, "backend-1"));
    history.requests.push(request);
    assert_eq!(broken(&history), [Rule::Lost]);
    history.runs[0].broke_off = true;
    assert_eq!(broken(&history), []);
}

#[test]
fn a_machine_that_does_not_serve_after_the_recovery_breaks_recover() {
    let mut history = calm_history();
    history
        .requests
        .push(unsafe_request(73.0, Ending::Answered(503)));
    assert_eq!(broken(&history), [Rule::Recover]);
    history
        .requests
        .push(unsafe_request(74.0, Ending::Answered(200)));
    assert_eq!(broken(&history), []);
}

#[test]
fn a_process_that_ends_by_itself_is_found() {
    let mut history = calm_history();
    let ended = (
        seconds(9.0),
        MachineId::Control(0),
        MachineEvent::EndedByItself,
    );
    history.machines.push(ended);
    assert_eq!(broken(&history), [Rule::OwnEnd]);
}

#[test]
fn a_run_with_a_key_that_was_never_held_breaks_route() {
    let mut history = calm_history();
    assert_eq!(broken(&history), []);
    history.requests.push(Request {
        target: Target::NeverHeldKey,
        ..probe(40.0, 4, 4, Ending::Answered(401))
    });
    assert_eq!(broken(&history), [], "refused");
    history.runs.push(Run {
        request: "probe-40".to_owned(),
        backend: "backend-0".to_owned(),
        at: seconds(40.0),
        broke_off: false,
    });
    assert_eq!(broken(&history), [Rule::Route]);
}

#[test]
fn permanent_keys_are_judged_by_the_generations_without_keys() {
    let permanent = |sent: f64, status: u16| Request {
        target: Target::Stream,
        ..probe(sent, 4, 4, Ending::Answered(status))
    };
    let mut history = calm_history();
    history.requests.push(permanent(40.0, 401));
    assert_eq!(
        broken(&history),
        [Rule::Config],
        "generation 4 holds the key"
    );

    let mut history = calm_history();
    let keyless = Generation(5);
    assert_eq!(keyless.tenant_list(), TenantList::WithoutKeys);
    history.orders.push(Order {
        generation: keyless,
        version: version(5),
        base: version(4),
        sent: seconds(40.5),
        state: OrderState::Acknowledged(seconds(41.0)),
    });
    history.reads[0].version = Some(version(5));
    history.requests.push(permanent(50.0, 401));
    assert_eq!(broken(&history), [], "no key is valid");
    history.requests.push(permanent(51.0, 200));
    assert_eq!(broken(&history), [Rule::Config]);
}

#[test]
fn a_control_machine_that_never_answers_a_read_again_breaks_recovery() {
    let mut history = calm_history();
    history.control_servers = vec![server(1)];
    assert_eq!(broken(&history), []);
    history.control_servers.push(server(2));
    assert_eq!(broken(&history), [Rule::Recover]);
}

#[test]
fn a_process_over_its_memory_breaks_the_rule_and_one_at_its_limit_does_not() {
    let with_memory = |megabytes: u64| {
        let mut history = calm_history();
        history.memory.push(PeakMemory {
            machine: MachineId::Front(0),
            role: "forward".to_owned(),
            at: seconds(70.0),
            bytes: megabytes * 1024 * 1024,
        });
        let found = violations(&history);
        found.into_iter().any(|found| found.rule == Rule::Memory)
    };
    assert!(!with_memory(260));
    assert!(with_memory(261));
}
