//! Reads one fault from the words after `at TIME`.

use std::time::Duration;

use crate::scenario::answer_fault::AnswerFault;
use crate::scenario::disk_fault::DiskFault;
use crate::scenario::fault::{CutSense, Fault, RollKind};
use crate::scenario::target::{Choice, Target, TargetKind};
use crate::scenario::words::Words;

const DEFAULT_DOWN: Duration = Duration::from_secs(2);

/// Reads the fault; the caller checks that nothing follows.
pub fn parse_fault(words: &mut Words) -> Result<Fault, String> {
    match words.next("a fault")? {
        "kill" => Ok(Fault::Kill {
            target: parse_target(words)?,
            down: words.length_or(DEFAULT_DOWN)?,
        }),
        "wipe" => Ok(Fault::Wipe {
            target: parse_target(words)?,
            down: words.length_or(DEFAULT_DOWN)?,
        }),
        "replace" => Ok(Fault::Replace {
            target: parse_target(words)?,
            down: words.length_or(DEFAULT_DOWN)?,
        }),
        "freeze" => Ok(Fault::Freeze {
            target: parse_target(words)?,
            length: words.length()?,
        }),
        "cut" => parse_cut(words),
        "reset" => Ok(Fault::Reset {
            target: parse_target(words)?,
        }),
        "disk" => parse_disk(words),
        "clock" => parse_clock(words),
        "retire" => Ok(Fault::Retire {
            target: parse_target(words)?,
        }),
        "answers" => parse_answers(words),
        "registry" => {
            words.expect("still")?;
            Ok(Fault::RegistryStill {
                length: words.length()?,
            })
        }
        "race" => Ok(Fault::Race),
        "lose-answers" => Ok(Fault::LostAnswers {
            length: words.length()?,
        }),
        "revoke" => Ok(Fault::Revoke),
        "burst" => Ok(Fault::Burst {
            times: words.number("")?,
            length: words.length()?,
        }),
        "hot-tenant" => Ok(Fault::HotTenant {
            length: words.length()?,
        }),
        "roll" => parse_roll(words),
        "orders" => Ok(Fault::Orders {
            count: words.number("")?,
        }),
        other => Err(format!("unknown fault {other:?}")),
    }
}

fn parse_target(words: &mut Words) -> Result<Target, String> {
    let word = words.next("a target")?;
    let (kind, all) = target_kind(word).ok_or_else(|| format!("unknown target {word:?}"))?;
    if all {
        return Ok(Target {
            kind,
            choice: Choice::All,
        });
    }
    let choice = match words.next("which one")? {
        "any" => Choice::Any,
        "leader" if kind == TargetKind::Core => Choice::Leader,
        number => Choice::Number(
            number
                .parse()
                .map_err(|_| format!("{number:?} is not a number, any or leader"))?,
        ),
    };
    Ok(Target { kind, choice })
}

fn target_kind(word: &str) -> Option<(TargetKind, bool)> {
    Some(match word {
        "core" => (TargetKind::Core, false),
        "cores" => (TargetKind::Core, true),
        "front" => (TargetKind::Front, false),
        "fronts" => (TargetKind::Front, true),
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

fn parse_cut(words: &mut Words) -> Result<Fault, String> {
    let target = parse_target(words)?;
    let from = match words.take("from") {
        true => Some(parse_target(words)?),
        false => None,
    };
    let sense = if words.take("outward") {
        CutSense::Outward
    } else if words.take("inward") {
        CutSense::Inward
    } else {
        CutSense::Both
    };
    Ok(Fault::Cut {
        target,
        from,
        sense,
        length: words.length()?,
    })
}

fn parse_disk(words: &mut Words) -> Result<Fault, String> {
    let target = parse_target(words)?;
    let fault = match words.next("a disk fault")? {
        "slow" => DiskFault::Slow(words.duration()?),
        "stalled" => DiskFault::Stalled,
        "full" => DiskFault::Full,
        "failing" => DiskFault::FailingSync,
        other => return Err(format!("unknown disk fault {other:?}")),
    };
    Ok(Fault::Disk {
        target,
        fault,
        length: words.length()?,
    })
}

fn parse_clock(words: &mut Words) -> Result<Fault, String> {
    let target = parse_target(words)?;
    match words.next("jump or drift")? {
        "jump" => Ok(Fault::ClockJump {
            target,
            by: words.duration()?,
        }),
        "drift" => Ok(Fault::ClockDrift {
            target,
            ppm: words.number("ppm")?,
        }),
        other => Err(format!("unknown clock fault {other:?}")),
    }
}

fn parse_answers(words: &mut Words) -> Result<Fault, String> {
    let word = words.next("an answer fault")?;
    let fault =
        AnswerFault::from_word(word).ok_or_else(|| format!("unknown answer fault {word:?}"))?;
    Ok(Fault::Answers {
        fault,
        length: words.length()?,
    })
}

fn parse_roll(words: &mut Words) -> Result<Fault, String> {
    let kind = match words.next("what to roll")? {
        "cores" => RollKind::Cores,
        "fronts" => RollKind::Fronts,
        "models" => RollKind::Models,
        other => return Err(format!("cannot roll {other:?}")),
    };
    Ok(Fault::Roll { kind })
}
