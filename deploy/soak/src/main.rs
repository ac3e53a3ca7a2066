//! The `platform-soak` program: soak runs over many seeds.

use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::{Matches, Options};
use miette::{IntoDiagnostic, miette};
use millford_platform_soak::options::{DEFAULT_CONTROLS, DEFAULT_DISRUPTION, DEFAULT_FRONTS};
use millford_platform_soak::{SoakOptions, run};
use tokio::task::JoinSet;

/// Exit status if a rule broke.
const BROKEN_STATUS: u8 = 1;

fn main() -> miette::Result<ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut options = Options::new();
    options
        .optopt("s", "seed", "first seed (1)", "SEED")
        .optopt(
            "r",
            "runs",
            "number of runs, with successive seeds (1)",
            "COUNT",
        )
        .optopt("j", "jobs", "runs at a time (1)", "COUNT")
        .optopt("f", "fronts", "proxy machines (4)", "COUNT")
        .optopt(
            "t",
            "seconds",
            "time of disruptions in a run (45)",
            "SECONDS",
        )
        .optopt(
            "p",
            "programs",
            "folder of the programs (target/release)",
            "FOLDER",
        )
        .optopt(
            "k",
            "keep",
            "folder for the logs of runs that break a rule",
            "FOLDER",
        )
        .optflag("h", "help", "print this help and exit");
    let matches = options.parse(&arguments).into_diagnostic()?;
    if matches.opt_present("help") {
        println!("{}", options.usage("Usage: platform-soak [options]"));
        return Ok(ExitCode::SUCCESS);
    }
    let first: u64 = value(&matches, "seed", 1)?;
    let runs: u64 = value(&matches, "runs", 1)?;
    let jobs: usize = value(&matches, "jobs", 1)?;
    let base = soak_options(&matches)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let broken = runtime
        .into_diagnostic()?
        .block_on(play(base, first..=first + runs - 1, jobs))?;
    println!("{runs} runs, {broken} with a rule broken or not played");
    Ok(if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(BROKEN_STATUS)
    })
}

fn soak_options(matches: &Matches) -> miette::Result<SoakOptions> {
    let programs = matches
        .opt_str("programs")
        .unwrap_or_else(|| "target/release".to_owned());
    Ok(SoakOptions {
        seed: 0,
        fronts: value(matches, "fronts", DEFAULT_FRONTS)?,
        controls: DEFAULT_CONTROLS,
        disruption: Duration::from_secs(value(matches, "seconds", DEFAULT_DISRUPTION.as_secs())?),
        deploy_file: PathBuf::from("deploy/system.toml"),
        programs: PathBuf::from(programs),
        keep: matches.opt_str("keep").map(PathBuf::from),
    })
}

fn value<T: std::str::FromStr>(matches: &Matches, name: &str, default: T) -> miette::Result<T> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| miette!("--{name}: invalid value \"{text}\""))
}

/// Plays one run for each seed, `jobs` at a time. Returns how many broke a rule or could not be played.
async fn play(base: SoakOptions, seeds: RangeInclusive<u64>, jobs: usize) -> miette::Result<usize> {
    let mut seeds = seeds.into_iter();
    let mut running = JoinSet::new();
    let mut broken = 0;
    loop {
        while running.len() < jobs
            && let Some(seed) = seeds.next()
        {
            let options = SoakOptions {
                seed,
                ..base.clone()
            };
            running.spawn(async move { (seed, run(&options).await) });
        }
        let Some(ended) = running.join_next().await else {
            return Ok(broken);
        };
        let (seed, result) = ended.into_diagnostic()?;
        match result {
            Ok(report) => {
                println!("{report}");
                broken += usize::from(!report.held());
            }
            Err(error) => {
                println!("seed {seed}: not played: {error}");
                broken += 1;
            }
        }
    }
}
