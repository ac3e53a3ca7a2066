//! Parses one fault from the tokens after `at TIME`.

use std::time::Duration;

use crate::scenario::answer_fault::AnswerFault;
use crate::scenario::disk_fault::DiskFault;
use crate::scenario::fault::{Fault, PartitionDirection, RollKind};
use crate::scenario::target::{Choice, Target, TargetKind};
use crate::scenario::tokens::Tokens;

const DEFAULT_DOWN: Duration = Duration::from_secs(2);

/// Reads the fault; the caller checks that nothing follows.
pub fn parse_fault(tokens: &mut Tokens) -> Result<Fault, String> {
    match tokens.next("a fault")? {
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
        "cut" => parse_partition(tokens),
        "reset" => Ok(Fault::Reset {
            target: parse_target(tokens)?,
        }),
        "disk" => parse_disk(tokens),
        "clock" => parse_clock(tokens),
        "retire" => Ok(Fault::Retire {
            target: parse_target(tokens)?,
        }),
        "answers" => parse_answers(tokens),
        "registry" => {
            tokens.expect("still")?;
            Ok(Fault::FrozenRegistry {
                length: tokens.length()?,
            })
        }
        "race" => Ok(Fault::Race),
        "lose-answers" => Ok(Fault::LostAnswers {
            length: tokens.length()?,
        }),
        "revoke" => Ok(Fault::Revoke),
        "burst" => Ok(Fault::Burst {
            times: tokens.number("")?,
            length: tokens.length()?,
        }),
        "hot-tenant" => Ok(Fault::HotTenant {
            length: tokens.length()?,
        }),
        "roll" => parse_roll(tokens),
        "orders" => Ok(Fault::Orders {
            count: tokens.number("")?,
        }),
        other => Err(format!("unknown fault {other:?}")),
    }
}

fn parse_target(tokens: &mut Tokens) -> Result<Target, String> {
    let token = tokens.next("a target")?;
    let (kind, all) = target_kind(token).ok_or_else(|| format!("unknown target {token:?}"))?;
    if all {
        return Ok(Target {
            kind,
            choice: Choice::All,
        });
    }
    let choice = match tokens.next("which one")? {
        "any" => Choice::Any,
        "leader" if kind == TargetKind::ControlNode => Choice::Leader,
        number => Choice::Number(
            number
                .parse()
                .map_err(|_| format!("{number:?} is not a number, any or leader"))?,
        ),
    };
    Ok(Target { kind, choice })
}

fn target_kind(token: &str) -> Option<(TargetKind, bool)> {
    Some(match token {
        "core" => (TargetKind::ControlNode, false),
        "cores" => (TargetKind::ControlNode, true),
        "front" => (TargetKind::ProxyNode, false),
        "fronts" => (TargetKind::ProxyNode, true),
        "agent" => (TargetKind::Agent, false),
        "agents" => (TargetKind::Agent, true),
        "proxy" => (TargetKind::Proxy, false),
        "proxies" => (TargetKind::Proxy, true),
        "model" => (TargetKind::Model, false),
        "models" => (TargetKind::Model, true),
        "lookup" => (TargetKind::Lookup, false),
        "lookups" => (TargetKind::Lookup, true),
        _ => return None,
    })
}

fn parse_partition(tokens: &mut Tokens) -> Result<Fault, String> {
    let target = parse_target(tokens)?;
    let from = match tokens.take("from") {
        true => Some(parse_target(tokens)?),
        false => None,
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

fn parse_disk(tokens: &mut Tokens) -> Result<Fault, String> {
    let target = parse_target(tokens)?;
    let fault = match tokens.next("a disk fault")? {
        "slow" => DiskFault::Slow(tokens.duration()?),
        "stalled" => DiskFault::Stalled,
        "full" => DiskFault::Full,
        "failing" => DiskFault::FailingSync,
        other => return Err(format!("unknown disk fault {other:?}")),
    };
    Ok(Fault::Disk {
        target,
        fault,
        length: tokens.length()?,
    })
}

fn parse_clock(tokens: &mut Tokens) -> Result<Fault, String> {
    let target = parse_target(tokens)?;
    match tokens.next("jump or drift")? {
        "jump" => Ok(Fault::ClockJump {
            target,
            by: tokens.duration()?,
        }),
        "drift" => Ok(Fault::ClockDrift {
            target,
            ppm: tokens.number("ppm")?,
        }),
        other => Err(format!("unknown clock fault {other:?}")),
    }
}

fn parse_answers(tokens: &mut Tokens) -> Result<Fault, String> {
    let token = tokens.next("an answer fault")?;
    let fault = AnswerFault::from_keyword(token)
        .ok_or_else(|| format!("unknown answer fault {token:?}"))?;
    Ok(Fault::Answers {
        fault,
        length: tokens.length()?,
    })
}

fn parse_roll(tokens: &mut Tokens) -> Result<Fault, String> {
    let kind = match tokens.next("what to roll")? {
        "cores" => RollKind::ControlNodes,
        "fronts" => RollKind::ProxyNodes,
        "models" => RollKind::Models,
        other => return Err(format!("cannot roll {other:?}")),
    };
    Ok(Fault::Roll { kind })
}
