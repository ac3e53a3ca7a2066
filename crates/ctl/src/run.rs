//! Runs one command line and prints its outcome.

use std::io::Write;
use std::process::ExitCode;

use miette::MietteHandlerOpts;
use millford_core::ResultCode;

use crate::client::ControlClient;
use crate::command::{apply, check, drain, get, plan, recover, status};
use crate::command_line::{self, ADDRESSES_VARIABLE};
use crate::exit_status::ExitStatus;
use crate::failure::Failure;
use crate::invocation::{Command, CommonOptions, Invocation};
use crate::operator_key::{KEY_VARIABLE, OperatorKey};
use crate::report::render;

/// Runs the arguments, the program's name left out.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    let addresses = std::env::var(ADDRESSES_VARIABLE).ok();
    let json = arguments
        .iter()
        .any(|argument| argument == "--json" || argument == "-j");
    let outcome =
        command_line::parse(arguments, addresses.as_deref()).and_then(|found| carry_out(&found));
    let status = match outcome {
        Ok(text) => print(&text),
        Err(failure) => {
            print_failure(&failure, json);
            failure.exit_status()
        }
    };
    ExitCode::from(status.number())
}

fn carry_out(invocation: &Invocation) -> Result<String, Failure> {
    let common = &invocation.common;
    match &invocation.command {
        Command::Help => Ok(command_line::help()),
        Command::Version => Ok(format!("millfordctl {}\n", env!("CARGO_PKG_VERSION"))),
        Command::Check { file } => Ok(render(&check::check(file)?, common.json)),
        online => runtime()?.block_on(carry_out_online(online, common)),
    }
}

async fn carry_out_online(command: &Command, common: &CommonOptions) -> Result<String, Failure> {
    let key = OperatorKey::find(common.key_file.as_deref(), std::env::var(KEY_VARIABLE).ok())?;
    let client = ControlClient::new(common, key)?;
    let json = common.json;
    match command {
        Command::Apply(options) => Ok(render(&apply::apply(&client, options).await?, json)),
        Command::Get => Ok(render(&get::get(&client).await?, json)),
        Command::Plan { file } => Ok(render(&plan::plan(&client, file).await?, json)),
        Command::Status => Ok(render(&status::status(&client).await?, json)),
        Command::Drain(options) => Ok(render(&drain::drain(&client, options).await?, json)),
        Command::Recover(options) => Ok(render(&recover::recover(&client, options).await?, json)),
        Command::Check { .. } | Command::Help | Command::Version => Ok(String::new()),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::with_message(ResultCode::StartFailed, error.to_string()))
}

fn print(text: &str) -> ExitStatus {
    // A reader that closed the pipe early, such as `head`, has what it wanted.
    match std::io::stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitStatus::Done,
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => ExitStatus::Done,
        Err(_) => ExitStatus::Failed,
    }
}

fn print_failure(failure: &Failure, json: bool) {
    if json {
        let body = serde_json::to_string(&failure.to_body()).unwrap_or_default();
        print(&format!("{body}\n"));
    } else {
        // Lines stay whole, so that a command in the advice can be copied.
        let handler = |_: &_| -> Box<dyn miette::ReportHandler> {
            Box::new(MietteHandlerOpts::new().wrap_lines(false).build())
        };
        // An error here means that a handler is set already.
        let _ = miette::set_hook(Box::new(handler));
        eprintln!("{:?}", miette::Report::new(failure.clone()));
    }
}
