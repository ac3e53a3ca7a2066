//! Parser of scenario files. The crate's README describes the format.

use std::time::Duration;

use crate::scenario::definition::Scenario;
use crate::scenario::draw::{Draw, FaultClass};
use crate::scenario::expectation::{Bound, Expectation, Figure};
use crate::scenario::fault::TimedFault;
use crate::scenario::fault_parser::parse_fault;
use crate::scenario::parse_error::{ParseError, StatementError};
use crate::scenario::tokens::Tokens;
use crate::scenario::topology::Topology;
use crate::scenario::workload::Workload;

const DEFAULT_DURATION: Duration = Duration::from_secs(30);
const DEFAULT_SEEDS: u64 = 3;

impl Scenario {
    /// Parses the text of a scenario file.
    ///
    /// # Errors
    /// [`ParseError`] with the first line that is not a valid statement. A missing `scenario` or `site`
    /// statement is reported for line 1.
    pub fn parse(text: &str) -> Result<Scenario, ParseError> {
        let mut scenario = Scenario {
            name: String::new(),
            topologies: Vec::new(),
            duration: DEFAULT_DURATION,
            seeds: DEFAULT_SEEDS,
            workload: Workload::default(),
            faults: Vec::new(),
            draws: Vec::new(),
            expectations: Vec::new(),
        };
        for (index, line) in text.lines().enumerate() {
            let statement = line.split('#').next().unwrap_or_default();
            parse_line(&mut scenario, statement).map_err(|source| ParseError {
                line: index + 1,
                source,
            })?;
        }
        check_complete(&scenario).map_err(|source| ParseError { line: 1, source })?;
        scenario.faults.sort_by_key(|fault| fault.at);
        Ok(scenario)
    }
}

fn check_complete(scenario: &Scenario) -> Result<(), StatementError> {
    if scenario.name.is_empty() {
        return Err(StatementError::NoName);
    }
    if scenario.topologies.is_empty() {
        return Err(StatementError::NoSite);
    }
    Ok(())
}

fn parse_line(scenario: &mut Scenario, line: &str) -> Result<(), StatementError> {
    let mut tokens = Tokens::new(line);
    let Ok(statement) = tokens.next("a statement") else {
        return Ok(());
    };
    match statement {
        "scenario" => scenario.name = tokens.next("the name")?.to_string(),
        "site" => scenario.topologies.push(parse_site(&mut tokens)?),
        "duration" => scenario.duration = tokens.duration()?,
        "seeds" => scenario.seeds = tokens.number()?,
        "at" => {
            let at = tokens.duration()?;
            let fault = parse_fault(&mut tokens)?;
            scenario.faults.push(TimedFault { at, fault });
        }
        "draw" => scenario.draws.push(parse_draw(&mut tokens)?),
        "expect" => scenario.expectations.push(parse_expectation(&mut tokens)?),
        keyword => parse_workload(&mut scenario.workload, keyword, &mut tokens)?,
    }
    tokens.end()
}

fn parse_workload(
    workload: &mut Workload,
    keyword: &str,
    tokens: &mut Tokens<'_>,
) -> Result<(), StatementError> {
    match keyword {
        "calls" => workload.requests_per_second = tokens.number_with_suffix("/s")?,
        "lookups" => workload.lookups_per_second = tokens.number_with_suffix("/s")?,
        "keyed" => workload.keyed_percent = tokens.number_with_suffix("%")?,
        "unkeyed" => workload.unkeyed_percent = tokens.number_with_suffix("%")?,
        "resend" => workload.resend_percent = tokens.number_with_suffix("%")?,
        "order-every" => workload.order_every = tokens.duration()?,
        "quota" => {
            workload.quota_per_second = tokens.number_with_suffix("/s")?;
            tokens.expect("burst")?;
            workload.quota_burst = tokens.number()?;
        }
        other => return Err(StatementError::unknown("statement", other)),
    }
    Ok(())
}

fn parse_site(tokens: &mut Tokens<'_>) -> Result<Topology, StatementError> {
    let keyword = tokens.next("a site")?;
    if keyword != "fronts" {
        return Topology::from_keyword(keyword)
            .ok_or_else(|| StatementError::unknown("site", keyword));
    }
    let mut topology = Topology::SMALL;
    topology.proxy_nodes = tokens.number()?;
    tokens.expect("zones")?;
    topology.zones = tokens.number()?;
    tokens.expect("cores")?;
    topology.control_nodes = tokens.number()?;
    tokens.expect("models")?;
    topology.models = tokens.number()?;
    tokens.expect("lookups")?;
    topology.lookups = tokens.number()?;
    tokens.expect("tenants")?;
    topology.tenants = tokens.number()?;
    Ok(topology)
}

fn parse_draw(tokens: &mut Tokens<'_>) -> Result<Draw, StatementError> {
    let count = tokens.number()?;
    tokens.expect("from")?;
    let from = tokens.duration()?;
    tokens.expect("to")?;
    let to = tokens.duration()?;
    if to <= from {
        return Err(StatementError::EmptyDraw);
    }
    let mut classes = Vec::new();
    if tokens.take("over") {
        for keyword in tokens.next("a list of fault classes")?.split(',') {
            let class = FaultClass::from_keyword(keyword)
                .ok_or_else(|| StatementError::unknown("fault class", keyword))?;
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

fn parse_expectation(tokens: &mut Tokens<'_>) -> Result<Expectation, StatementError> {
    let keyword = tokens.next("a figure")?;
    let figure =
        Figure::from_keyword(keyword).ok_or_else(|| StatementError::unknown("figure", keyword))?;
    let bound = match tokens.next("<= or >=")? {
        "<=" => Bound::AtMost,
        ">=" => Bound::AtLeast,
        other => {
            return Err(StatementError::UnexpectedComparison {
                found: other.to_owned(),
            });
        }
    };
    let value = match figure {
        Figure::SecondSends | Figure::Served => tokens.number_with_suffix("%")?,
        Figure::Orders => tokens.number()?,
        _ => u64::try_from(tokens.duration()?.as_millis()).unwrap_or(u64::MAX),
    };
    Ok(Expectation {
        figure,
        bound,
        value,
    })
}
