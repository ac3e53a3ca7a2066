//! Reads a scenario file. The crate's README describes the format.

use std::time::Duration;

use crate::scenario::definition::Scenario;
use crate::scenario::draw::{Draw, FaultClass};
use crate::scenario::expectation::{Expectation, Figure};
use crate::scenario::fault::TimedFault;
use crate::scenario::fault_parser::parse_fault;
use crate::scenario::parse_error::ParseError;
use crate::scenario::topology::Topology;
use crate::scenario::words::Words;
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
    let mut words = Words::new(line);
    let Ok(statement) = words.next("a statement") else {
        return Ok(());
    };
    match statement {
        "scenario" => scenario.name = words.next("the name")?.to_string(),
        "site" => scenario.sites.push(parse_site(&mut words)?),
        "duration" => scenario.duration = words.duration()?,
        "seeds" => scenario.seeds = words.number("")?,
        "calls" => scenario.workload.calls_per_second = words.number("/s")?,
        "lookups" => scenario.workload.lookups_per_second = words.number("/s")?,
        "keyed" => scenario.workload.keyed_percent = words.number("%")?,
        "unkeyed" => scenario.workload.unkeyed_percent = words.number("%")?,
        "resend" => scenario.workload.resend_percent = words.number("%")?,
        "order-every" => scenario.workload.order_every = words.duration()?,
        "quota" => {
            scenario.workload.quota_per_second = words.number("/s")?;
            words.expect("burst")?;
            scenario.workload.quota_burst = words.number("")?;
        }
        "at" => {
            let at = words.duration()?;
            let fault = parse_fault(&mut words)?;
            scenario.faults.push(TimedFault { at, fault });
        }
        "draw" => scenario.draws.push(parse_draw(&mut words)?),
        "expect" => scenario.expectations.push(parse_expectation(&mut words)?),
        other => return Err(format!("unknown statement {other:?}")),
    }
    words.end()
}

fn parse_site(words: &mut Words) -> Result<Topology, String> {
    let word = words.next("a site")?;
    if word != "fronts" {
        return Topology::from_word(word).ok_or_else(|| format!("unknown site {word:?}"));
    }
    let mut topology = Topology::SMALL;
    topology.fronts = words.number("")?;
    words.expect("zones")?;
    topology.zones = words.number("")?;
    words.expect("cores")?;
    topology.cores = words.number("")?;
    words.expect("models")?;
    topology.models = words.number("")?;
    words.expect("lookups")?;
    topology.lookups = words.number("")?;
    words.expect("tenants")?;
    topology.tenants = words.number("")?;
    Ok(topology)
}

fn parse_draw(words: &mut Words) -> Result<Draw, String> {
    let count = words.number("")?;
    words.expect("from")?;
    let from = words.duration()?;
    words.expect("to")?;
    let to = words.duration()?;
    if to <= from {
        return Err("the draw ends before it starts".to_string());
    }
    let mut classes = Vec::new();
    if words.take("over") {
        for word in words.next("classes of faults")?.split(',') {
            let class = FaultClass::from_word(word)
                .ok_or_else(|| format!("unknown class of faults {word:?}"))?;
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

fn parse_expectation(words: &mut Words) -> Result<Expectation, String> {
    let word = words.next("a figure")?;
    let figure = Figure::from_word(word).ok_or_else(|| format!("unknown figure {word:?}"))?;
    let at_least = match words.next("<= or >=")? {
        "<=" => false,
        ">=" => true,
        other => return Err(format!("expected <= or >=, found {other:?}")),
    };
    let value = match figure {
        Figure::SecondSends | Figure::Served => words.number("%")?,
        Figure::Orders => words.number("")?,
        _ => u64::try_from(words.duration()?.as_millis()).unwrap_or(u64::MAX),
    };
    Ok(Expectation {
        figure,
        at_least,
        value,
    })
}
