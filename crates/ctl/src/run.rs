//! Runs one command line, prints its result and returns the exit status.

use std::io::Write;
use std::process::ExitCode;

use miette::MietteHandlerOpts;
use millford_core::ResultCode;

use crate::client::ControlClient;
use crate::command::{apply, check, drain, get, plan, recover, status};
use crate::command_line::{self, ADDRESSES_VARIABLE};
use crate::exit_status::ExitStatus;
use crate::failure::Failure;
use crate::invocation::{Command, CommonOptions, Invocation, OnlineCommand, OutputFormat};
use crate::operator_key::{KEY_VARIABLE, OperatorKey};
use crate::report::render;

/// Runs the command line with these arguments, the program's name excluded.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    let addresses = std::env::var(ADDRESSES_VARIABLE).ok();
    let result = command_line::parse(arguments, addresses.as_deref())
        .and_then(|invocation| execute(&invocation));
    let status = match result {
        Ok(text) => print(&text),
        Err(failure) => {
            print_failure(&failure, failure_format(arguments));
            failure.exit_status()
        }
    };
    ExitCode::from(status.number())
}

/// Returns the output format of a failure. The flag is searched in the raw arguments, because a command
/// line that cannot be parsed has no options.
fn failure_format(arguments: &[String]) -> OutputFormat {
    let is_json_flag = |argument: &String| argument == "--json" || argument == "-j";
    if arguments.iter().any(is_json_flag) {
        OutputFormat::Json
    } else {
        OutputFormat::Text
    }
}

fn execute(invocation: &Invocation) -> Result<String, Failure> {
    let common = &invocation.common;
    match &invocation.command {
        Command::Help => Ok(command_line::help()),
        Command::Version => Ok(format!("millfordctl {}\n", env!("CARGO_PKG_VERSION"))),
        Command::Check { file } => Ok(render(&check::check(file)?, common.output)),
        Command::Online(command) => runtime()?.block_on(execute_online(command, common)),
    }
}

async fn execute_online(
    command: &OnlineCommand,
    common: &CommonOptions,
) -> Result<String, Failure> {
    let key = OperatorKey::find(common.key_file.as_deref(), std::env::var(KEY_VARIABLE).ok())?;
    let client = ControlClient::new(common, key)?;
    let output = common.output;
    match command {
        OnlineCommand::Apply(options) => Ok(render(&apply::apply(&client, options).await?, output)),
        OnlineCommand::Get => Ok(render(&get::get(&client).await?, output)),
        OnlineCommand::Plan { file } => Ok(render(&plan::plan(&client, file).await?, output)),
        OnlineCommand::Status => Ok(render(&status::status(&client).await?, output)),
        OnlineCommand::Drain(options) => Ok(render(&drain::drain(&client, options).await?, output)),
        OnlineCommand::Recover(options) => {
            Ok(render(&recover::recover(&client, options).await?, output))
        }
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::with_message(ResultCode::StartFailed, error.to_string()))
}

fn print(text: &str) -> ExitStatus {
    // A reader that closes the pipe early, such as `head`, is not an error.
    match std::io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitStatus::Success,
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => ExitStatus::Success,
        Err(_) => ExitStatus::Failed,
    }
}

fn print_failure(failure: &Failure, format: OutputFormat) {
    if format == OutputFormat::Json {
        let body = serde_json::to_string(&failure.to_body()).unwrap_or_default();
        print(&format!("{body}\n"));
    } else {
        // Lines are not wrapped, so that a command in the advice can be copied.
        let handler = |_: &_| -> Box<dyn miette::ReportHandler> {
            Box::new(MietteHandlerOpts::new().wrap_lines(false).build())
        };
        // Fails only if a hook is installed already.
        let _ = miette::set_hook(Box::new(handler));
        eprintln!("{:?}", miette::Report::new(failure.clone()));
    }
}
