//! Prints the output of the demonstration.

use crate::caller::{Ending, RequestOutcome};
use crate::checks::History;
use crate::fleet::site::LARGE_MODEL;
use crate::fleet::{Fleet, SitePlan};

/// Largest number of characters of a response that are printed.
const MAX_PRINTED_CHARACTERS: usize = 100;

/// Describes a topology in one line.
#[must_use]
pub fn plan_text(plan: &SitePlan) -> String {
    format!(
        "{} control nodes, {} agents with proxies in {} zones, {} model and {} lookup backends",
        plan.controls, plan.proxy_nodes, plan.zones, plan.model_backends, plan.lookup_backends
    )
}

/// Prints every address, the keys, and a `curl` command line.
pub fn print_addresses(fleet: &Fleet) {
    println!("registry         http://{}", fleet.registry_address);
    for control in &fleet.controls {
        let spec = &control.spec;
        println!("{:<16} http://{} (operators)", spec.name, spec.operator);
    }
    println!("operator key     {}", fleet.operator.key);
    for proxy_node in &fleet.proxy_nodes {
        println!(
            "{:<16} http://{} (callers)",
            proxy_node.spec.name, proxy_node.spec.callers
        );
    }
    for backend in &fleet.backends {
        println!("{:<16} http://{}", backend.spec.id, backend.spec.address);
    }
    println!("tenant key       {}", fleet.plan.tenant_keys[0]);
    println!("\n{}\n", curl_line(fleet));
    println!("SIGTERM or ctrl-c ends every process.");
}

fn curl_line(fleet: &Fleet) -> String {
    let body = format!(
        r#"{{"model":"{LARGE_MODEL}","stream":true,"max_tokens":20,"messages":[{{"role":"user","content":"Hello"}}]}}"#
    );
    format!(
        "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {}' -H 'Content-Type: application/json' -d '{body}'",
        fleet.proxy_address(0),
        fleet.plan.tenant_keys[0],
    )
}

/// Prints a sample of the outcomes: one complete stream, every stream that another backend resumed, and one
/// failure of each result code.
pub fn print_sample(history: &History) {
    let moved = |call: &&RequestOutcome| {
        let runs = history
            .executions
            .iter()
            .filter(|run| run.marker == call.marker);
        call.succeeded() && runs.clone().any(|run| run.resume_from > 0)
    };
    println!("\nsample of the requests:");
    if let Some(call) = history
        .calls
        .iter()
        .find(|call| call.succeeded() && call.streamed)
    {
        print_request("a stream", call);
    }
    for call in history.calls.iter().filter(moved) {
        print_request("a stream that moved to another backend", call);
        print_runs(history, call);
    }
    let mut codes = std::collections::BTreeSet::new();
    for call in &history.calls {
        if let Ending::Failure { code, run, .. } = &call.ending
            && codes.insert(*code)
        {
            print_request(&format!("a failure, {code} {run:?}"), call);
        }
    }
}

fn print_request(what: &str, call: &RequestOutcome) {
    let text: String = call
        .chunks
        .iter()
        .map(|chunk| chunk.text.as_str())
        .collect();
    let start: String = text.chars().take(MAX_PRINTED_CHARACTERS).collect();
    println!(
        "  {what}: request {} at proxy {}, {} chunks: {start}",
        call.marker,
        call.proxy,
        call.chunks.len()
    );
}

fn print_runs(history: &History, call: &RequestOutcome) {
    for run in history
        .executions
        .iter()
        .filter(|run| run.marker == call.marker)
    {
        let end = run.end.map_or("no end recorded".to_owned(), |end| {
            format!("{end:?}").to_lowercase()
        });
        println!(
            "      {} from chunk {}: {end}",
            run.backend, run.resume_from
        );
    }
}
