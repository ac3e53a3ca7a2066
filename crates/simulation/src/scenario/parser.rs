//! Reads a scenario file. The crate's README describes the format.

use std::time::Duration;

use crate::scenario::definition::Scenario;
use crate::scenario::draw::{Draw, FaultClass};
use crate::scenario::expectation::{Expectation, Figure};
use crate::scenario::fault::TimedFault;
use crate::scenario::fault_parser::parse_fault;
use crate::scenario::parse_error::ParseError;
use crate::scenario::tokens::Tokens;
use crate::scenario::topology::Topology;
use crate::scenario::workload::Workload;

const DEFAULT_DURATION: Duration = Duration::from_secs(30);
const DEFAULT_SEEDS: u64 = 3;

impl Scenario {
    /// Reads the text of a scenario file.
    pub fn parse(text: &str) -> Result<Scenario, ParseError> {
        let mut scenario = Scenario {
            name: String::new(),
            sites: Vec::new(),
            duration: DEFAULT_DURATION,
            seeds: DEFAULT_SEEDS,
            workload: Workload::default(),
            faults: Vec::new(),
            draws: Vec::new(),
            expectations: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            let statement = line.split('#').next().unwrap_or_default();
            parse_line(&mut scenario, statement).map_err(|text| ParseError {
                line: index + 1,
                text,
            })?;
        }
        finish(scenario)
    }
}

fn finish(mut scenario: Scenario) -> Result<Scenario, ParseError> {
    let whole_file = |text: &str| ParseError {
        line: 1,
        text: text.to_string(),
    };
    if scenario.name.is_empty() {
        return Err(whole_file("the scenario has no name"));
    }
    if scenario.sites.is_empty() {
        return Err(whole_file("the scenario names no site"));
    }
    scenario.faults.sort_by_key(|fault| fault.at);
    Ok(scenario)
}

fn parse_line(scenario: &mut Scenario, line: &str) -> Result<(), String> {
    let mut tokens = Tokens::new(line);
    let Ok(statement) = tokens.next("a statement") else {
        return Ok(());
    };
    match statement {
        "scenario" => scenario.name = tokens.next("the name")?.to_string(),
        "site" => scenario.sites.push(parse_site(&mut tokens)?),
        "duration" => scenario.duration = tokens.duration()?,
        "seeds" => scenario.seeds = tokens.number("")?,
        "calls" => scenario.workload.requests_per_second = tokens.number("/s")?,
        "lookups" => scenario.workload.lookups_per_second = tokens.number("/s")?,
        "keyed" => scenario.workload.keyed_percent = tokens.number("%")?,
        "unkeyed" => scenario.workload.unkeyed_percent = tokens.number("%")?,
        "resend" => scenario.workload.resend_percent = tokens.number("%")?,
        "order-every" => scenario.workload.order_every = tokens.duration()?,
        "quota" => {
            scenario.workload.quota_per_second = tokens.number("/s")?;
            tokens.expect("burst")?;
            scenario.workload.quota_burst = tokens.number("")?;
        }
        "at" => {
            let at = tokens.duration()?;
            let fault = parse_fault(&mut tokens)?;
            scenario.faults.push(TimedFault { at, fault });
        }
        "draw" => scenario.draws.push(parse_draw(&mut tokens)?),
        "expect" => scenario.expectations.push(parse_expectation(&mut tokens)?),
        other => return Err(format!("unknown statement {other:?}")),
    }
    tokens.end()
}

fn parse_site(tokens: &mut Tokens) -> Result<Topology, String> {
    let token = tokens.next("a site")?;
    if token != "fronts" {
        return Topology::from_keyword(token).ok_or_else(|| format!("unknown site {token:?}"));
    }
    let mut topology = Topology::SMALL;
    topology.proxy_nodes = tokens.number("")?;
    tokens.expect("zones")?;
    topology.zones = tokens.number("")?;
    tokens.expect("cores")?;
    topology.control_nodes = tokens.number("")?;
    tokens.expect("models")?;
    topology.models = tokens.number("")?;
    tokens.expect("lookups")?;
    topology.lookups = tokens.number("")?;
    tokens.expect("tenants")?;
    topology.tenants = tokens.number("")?;
    Ok(topology)
}

fn parse_draw(tokens: &mut Tokens) -> Result<Draw, String> {
    let count = tokens.number("")?;
    tokens.expect("from")?;
    let from = tokens.duration()?;
    tokens.expect("to")?;
    let to = tokens.duration()?;
    if to <= from {
        return Err("the draw ends before it starts".to_string());
    }
    let mut classes = Vec::new();
    if tokens.take("over") {
        for token in tokens.next("classes of faults")?.split(',') {
            let class = FaultClass::from_keyword(token)
                .ok_or_else(|| format!("unknown class of faults {token:?}"))?;
            classes.push(class);
        }
    } else {
        classes.extend(FaultClass::ALL);
    }
    Ok(Draw {
        count,
        from,
        to,
        classes,
    })
}

fn parse_expectation(tokens: &mut Tokens) -> Result<Expectation, String> {
    let token = tokens.next("a figure")?;
    let figure = Figure::from_keyword(token).ok_or_else(|| format!("unknown figure {token:?}"))?;
    let at_least = match tokens.next("<= or >=")? {
        "<=" => false,
        ">=" => true,
        other => return Err(format!("expected <= or >=, found {other:?}")),
    };
    let value = match figure {
        Figure::SecondSends | Figure::Served => tokens.number("%")?,
        Figure::Orders => tokens.number("")?,
        _ => u64::try_from(tokens.duration()?.as_millis()).unwrap_or(u64::MAX),
    };
    Ok(Expectation {
        figure,
        at_least,
        value,
    })
}
