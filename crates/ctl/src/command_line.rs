//! Parses the command line and prints its help text.

use std::path::PathBuf;

use getopts::{Matches, Options};
use millford_core::{Duration, ResultCode};

use crate::failure::Failure;
use crate::invocation::{
    ApplyOptions, Command, CommonOptions, DrainAction, DrainOptions, Invocation, OnlineCommand,
    OutputFormat, RecoverOptions,
};

/// Name of the environment variable with the control nodes' operator addresses, separated by commas.
pub const ADDRESSES_VARIABLE: &str = "MILLFORD_CONTROL";
/// Default of `--timeout-ms`, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

const BRIEF: &str = "Usage: millfordctl [options] COMMAND

Commands:
    check FILE              validate a document offline and print all faults
    plan FILE               print what applying the document would change
    apply FILE              replace the configuration with the document
    get                     print the configuration in force (linearizable read)
    status                  print members, shards, sessions and replicas
    drain POOL BACKEND      stop routing new work to a backend
    recover                 continue with the named survivors after a permanent loss of quorum

The operator key comes from --key-file or from the environment variable MILLFORD_OPERATOR_KEY.";

/// Parses the arguments, the program's name excluded. `environment` is the value of
/// [`ADDRESSES_VARIABLE`], which is used if the arguments have no `--control`.
///
/// # Errors
/// [`ResultCode::BadArgument`] with a message about the argument that is wrong.
pub fn parse(arguments: &[String], environment: Option<&str>) -> Result<Invocation, Failure> {
    let matches = options()
        .parse(arguments)
        .map_err(|error| usage_error(error.to_string()))?;
    let command = command(&matches)?;
    let common = common(&matches, environment)?;
    Ok(Invocation { common, command })
}

/// Returns the help text.
#[must_use]
pub fn help() -> String {
    options().usage(BRIEF)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("c", "control", "operator address of a control node, IP:PORT; several are tried in turn (default: MILLFORD_CONTROL, separated by commas)", "ADDRESS");
    options.optopt("k", "key-file", "file with the operator key", "FILE");
    options.optflag("j", "json", "print JSON, also for failures");
    options.optopt(
        "t",
        "timeout-ms",
        "time after which requests are no longer retried, in milliseconds (default: 30000)",
        "MS",
    );
    options.optopt(
        "b",
        "base",
        "apply: revision that the document is based on (default: the revision in force)",
        "REVISION",
    );
    options.optopt(
        "o",
        "order-id",
        "apply: id of the order, to resend one that may have been accepted (default: generated)",
        "ID",
    );
    options.optflag("u", "undo", "drain: lift an earlier drain");
    options.optmulti(
        "s",
        "survivor",
        "recover: identity of a surviving control node, as printed by `status`",
        "ID",
    );
    options.optopt(
        "",
        "confirm",
        "recover: confirmation, exactly \"I accept that orders may be lost\"",
        "TEXT",
    );
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn command(matches: &Matches) -> Result<Command, Failure> {
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let Some((name, operands)) = matches.free.split_first() else {
        return Err(usage_error("no command is given"));
    };
    let command = match name.as_str() {
        "check" => Command::Check {
            file: file(operands)?,
        },
        "plan" => Command::Online(OnlineCommand::Plan {
            file: file(operands)?,
        }),
        "apply" => Command::Online(OnlineCommand::Apply(apply_options(matches, operands)?)),
        "get" => no_operands(operands, OnlineCommand::Get)?,
        "status" => no_operands(operands, OnlineCommand::Status)?,
        "drain" => Command::Online(OnlineCommand::Drain(drain_options(matches, operands)?)),
        "recover" => Command::Online(OnlineCommand::Recover(recover_options(matches, operands)?)),
        other => return Err(usage_error(format!("unknown command \"{other}\""))),
    };
    reject_options_of_other_commands(name, matches)?;
    Ok(command)
}

/// Rejects options of other commands, which would otherwise be ignored.
fn reject_options_of_other_commands(command: &str, matches: &Matches) -> Result<(), Failure> {
    let command_options = [
        ("base", "apply"),
        ("order-id", "apply"),
        ("undo", "drain"),
        ("survivor", "recover"),
        ("confirm", "recover"),
    ];
    for (option, owner) in command_options {
        if matches.opt_present(option) && owner != command {
            return Err(usage_error(format!(
                "--{option} is an option of `{owner}` only"
            )));
        }
    }
    Ok(())
}

fn common(matches: &Matches, environment: Option<&str>) -> Result<CommonOptions, Failure> {
    let mut addresses = matches.opt_strs("control");
    if addresses.is_empty() {
        let listed = environment.unwrap_or_default().split(',');
        let named = listed.map(str::trim).filter(|address| !address.is_empty());
        addresses = named.map(str::to_owned).collect();
    }
    for address in &addresses {
        if address.parse::<std::net::SocketAddr>().is_err() {
            return Err(usage_error(format!(
                "\"{address}\" is not an address of the form IP:PORT"
            )));
        }
    }
    let timeout_ms = number(matches, "timeout-ms")?.unwrap_or(DEFAULT_TIMEOUT_MS);
    Ok(CommonOptions {
        addresses,
        key_file: matches.opt_str("key-file").map(PathBuf::from),
        output: output_format(matches),
        timeout: Duration::from_millis(timeout_ms),
    })
}

fn output_format(matches: &Matches) -> OutputFormat {
    if matches.opt_present("json") {
        OutputFormat::Json
    } else {
        OutputFormat::Text
    }
}

fn apply_options(matches: &Matches, operands: &[String]) -> Result<ApplyOptions, Failure> {
    Ok(ApplyOptions {
        file: file(operands)?,
        base_revision: number(matches, "base")?,
        order_id: matches.opt_str("order-id"),
    })
}

fn drain_options(matches: &Matches, operands: &[String]) -> Result<DrainOptions, Failure> {
    let [pool, backend_id] = operands else {
        return Err(usage_error("drain requires a pool and a backend"));
    };
    Ok(DrainOptions {
        pool: pool.clone(),
        backend_id: backend_id.clone(),
        action: if matches.opt_present("undo") {
            DrainAction::Undo
        } else {
            DrainAction::Drain
        },
    })
}

fn recover_options(matches: &Matches, operands: &[String]) -> Result<RecoverOptions, Failure> {
    let survivors = matches.opt_strs("survivor");
    if survivors.is_empty() || !operands.is_empty() {
        return Err(usage_error(
            "recover requires --survivor for each surviving node and no other arguments",
        ));
    }
    let Some(confirm) = matches.opt_str("confirm") else {
        return Err(usage_error(
            "recover requires --confirm with the text shown by --help",
        ));
    };
    Ok(RecoverOptions { survivors, confirm })
}

fn file(operands: &[String]) -> Result<PathBuf, Failure> {
    match operands {
        [file] => Ok(PathBuf::from(file)),
        _ => Err(usage_error("the command requires exactly one file")),
    }
}

fn no_operands(operands: &[String], command: OnlineCommand) -> Result<Command, Failure> {
    match operands.first() {
        None => Ok(Command::Online(command)),
        Some(extra) => Err(usage_error(format!("unexpected argument \"{extra}\""))),
    }
}

fn number(matches: &Matches, option: &str) -> Result<Option<u64>, Failure> {
    let Some(text) = matches.opt_str(option) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(usage_error(format!(
            "--{option} requires a whole number, not \"{text}\""
        ))),
    }
}

fn usage_error(message: impl Into<String>) -> Failure {
    Failure::with_message(ResultCode::BadArgument, message).with_help("see millfordctl --help")
}
