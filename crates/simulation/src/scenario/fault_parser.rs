//! Parser of one fault: the tokens after `at TIME`.

use std::time::Duration;

use crate::scenario::answer_fault::AnswerFault;
use crate::scenario::disk_fault::DiskFault;
use crate::scenario::fault::{Fault, PartitionDirection, RollKind};
use crate::scenario::parse_error::StatementError;
use crate::scenario::target::{Choice, Target, TargetKind};
use crate::scenario::tokens::Tokens;

/// Time that a process stays down if the statement has no `for`.
const DEFAULT_DOWN: Duration = Duration::from_secs(2);

/// Whether a target keyword selects one machine of its kind or all.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Count {
    One,
    All,
}

/// Parses a fault; the caller checks that no token follows.
pub(crate) fn parse_fault(tokens: &mut Tokens<'_>) -> Result<Fault, StatementError> {
    match tokens.next("a fault")? {
        "race" => Ok(Fault::Race),
        "revoke" => Ok(Fault::Revoke),
        "lose-answers" => Ok(Fault::LostReplies {
            length: tokens.length()?,
        }),
        "orders" => Ok(Fault::Orders {
            count: tokens.number()?,
        }),
        "burst" => Ok(Fault::Burst {
            times: tokens.number()?,
            length: tokens.length()?,
        }),
        "hot-tenant" => Ok(Fault::HotTenant {
            length: tokens.length()?,
        }),
        "answers" => parse_answer_fault(tokens),
        "registry" => parse_registry_fault(tokens),
        "roll" => parse_roll(tokens),
        keyword => parse_target_fault(keyword, tokens),
    }
}

/// Parses a fault that has a target.
fn parse_target_fault(keyword: &str, tokens: &mut Tokens<'_>) -> Result<Fault, StatementError> {
    match keyword {
        "kill" => Ok(Fault::Kill {
            target: parse_target(tokens)?,
            down: tokens.length_or(DEFAULT_DOWN)?,
        }),
        "wipe" => Ok(Fault::Wipe {
            target: parse_target(tokens)?,
            down: tokens.length_or(DEFAULT_DOWN)?,
        }),
        "replace" => Ok(Fault::Replace {
            target: parse_target(tokens)?,
            down: tokens.length_or(DEFAULT_DOWN)?,
        }),
        "freeze" => Ok(Fault::Freeze {
            target: parse_target(tokens)?,
            length: tokens.length()?,
        }),
        "reset" => Ok(Fault::Reset {
            target: parse_target(tokens)?,
        }),
        "retire" => Ok(Fault::Retire {
            target: parse_target(tokens)?,
        }),
        "cut" => parse_partition(tokens),
        "disk" => parse_disk_fault(tokens),
        "clock" => parse_clock_fault(tokens),
        other => Err(StatementError::unknown("fault", other)),
    }
}

fn parse_target(tokens: &mut Tokens<'_>) -> Result<Target, StatementError> {
    let keyword = tokens.next("a target")?;
    let (kind, count) =
        target_kind(keyword).ok_or_else(|| StatementError::unknown("target", keyword))?;
    if count == Count::All {
        return Ok(Target {
            kind,
            choice: Choice::All,
        });
    }
    let choice = match tokens.next("a number, any or leader")? {
        "any" => Choice::Any,
        "leader" if kind == TargetKind::ControlNode => Choice::Leader,
        number => {
            let number = number
                .parse()
                .map_err(|source| StatementError::InvalidChoice {
                    found: number.to_owned(),
                    source,
                })?;
            Choice::Number(number)
        }
    };
    Ok(Target { kind, choice })
}

/// Returns what a keyword for machines or processes selects.
fn target_kind(keyword: &str) -> Option<(TargetKind, Count)> {
    Some(match keyword {
        "core" => (TargetKind::ControlNode, Count::One),
        "cores" => (TargetKind::ControlNode, Count::All),
        "front" => (TargetKind::ProxyNode, Count::One),
        "fronts" => (TargetKind::ProxyNode, Count::All),
        "agent" => (TargetKind::Agent, Count::One),
        "agents" => (TargetKind::Agent, Count::All),
        "proxy" => (TargetKind::Proxy, Count::One),
        "proxies" => (TargetKind::Proxy, Count::All),
        "model" => (TargetKind::Model, Count::One),
        "models" => (TargetKind::Model, Count::All),
        "lookup" => (TargetKind::Lookup, Count::One),
        "lookups" => (TargetKind::Lookup, Count::All),
        _ => return None,
    })
}

fn parse_partition(tokens: &mut Tokens<'_>) -> Result<Fault, StatementError> {
    let target = parse_target(tokens)?;
    let from = if tokens.take("from") {
        Some(parse_target(tokens)?)
    } else {
        None
    };
    let direction = if tokens.take("outward") {
        PartitionDirection::Outward
    } else if tokens.take("inward") {
        PartitionDirection::Inward
    } else {
        PartitionDirection::Both
    };
    Ok(Fault::Partition {
        target,
        from,
        direction,
        length: tokens.length()?,
    })
}

fn parse_disk_fault(tokens: &mut Tokens<'_>) -> Result<Fault, StatementError> {
    let target = parse_target(tokens)?;
    let fault = match tokens.next("a disk fault")? {
        "slow" => DiskFault::Slow(tokens.duration()?),
        "stalled" => DiskFault::Stalled,
        "full" => DiskFault::Full,
        "failing" => DiskFault::FailingSync,
        other => return Err(StatementError::unknown("disk fault", other)),
    };
    Ok(Fault::Disk {
        target,
        fault,
        length: tokens.length()?,
    })
}

fn parse_clock_fault(tokens: &mut Tokens<'_>) -> Result<Fault, StatementError> {
    let target = parse_target(tokens)?;
    match tokens.next("jump or drift")? {
        "jump" => Ok(Fault::ClockJump {
            target,
            by: tokens.duration()?,
        }),
        "drift" => Ok(Fault::ClockDrift {
            target,
            ppm: tokens.number_with_suffix("ppm")?,
        }),
        other => Err(StatementError::unknown("clock fault", other)),
    }
}

fn parse_answer_fault(tokens: &mut Tokens<'_>) -> Result<Fault, StatementError> {
    let keyword = tokens.next("an answer fault")?;
    let fault = AnswerFault::from_keyword(keyword)
        .ok_or_else(|| StatementError::unknown("answer fault", keyword))?;
    Ok(Fault::Answers {
        fault,
        length: tokens.length()?,
    })
}

fn parse_registry_fault(tokens: &mut Tokens<'_>) -> Result<Fault, StatementError> {
    tokens.expect("still")?;
    Ok(Fault::FrozenRegistry {
        length: tokens.length()?,
    })
}

fn parse_roll(tokens: &mut Tokens<'_>) -> Result<Fault, StatementError> {
    let kind = match tokens.next("a kind of machine to restart")? {
        "cores" => RollKind::ControlNodes,
        "fronts" => RollKind::ProxyNodes,
        "models" => RollKind::Models,
        other => {
            return Err(StatementError::InvalidRoll {
                found: other.to_owned(),
            });
        }
    };
    Ok(Fault::Roll { kind })
}
