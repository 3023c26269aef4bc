//! `violetseam demo` and `violetseam lab`.

use clap::{Args, Subcommand};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;
use violetseam_invariants::record_file::RecordFileError;
use violetseam_scale_bench as scale;
use violetseam_scale_bench::ScaleError;
use violetseam_scenarios::bench_scenario::{self, BenchScenarioError};
use violetseam_scenarios::builtin_scenarios::{self, NAMES};
use violetseam_scenarios::measurement::{self, MeasurementError, MeasurementSettings};
use violetseam_scenarios::{ReleaseDecider, ScenarioRunError, ScenarioRunner, report};
use violetseam_simulated_site::scenario::Scenario;

#[derive(Args)]
pub struct DemoArgs {
    /// Where logs and records go; a folder of the system's temporary one if not given
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Play a day; exit 0 only if all five rules were kept
    Day {
        /// A day that comes with the program, or a file: a day of this program's or one the bench drew
        day: String,
        /// Another seed for all draws
        #[arg(long)]
        seed: Option<u64>,
        /// Where logs and records go
        #[arg(long)]
        out: Option<PathBuf>,
        /// Have the stand-in desk decide on releases, not the controller
        #[arg(long)]
        stand_in_desk: bool,
        /// Further arguments of each proxy's `serve`; {position} stands for its number
        #[arg(last = true)]
        serve: Vec<String>,
    },
    /// The days that come with the program
    List,
    /// Measure the proxy against direct connections to the same servers, in one run
    Measure(MeasureArgs),
    /// Measure how a cost grows with the size of a fleet, and fit it
    Scale(scale::ScaleArgs),
    /// Check the records of a day again
    Check {
        /// The records, as a day wrote them
        file: PathBuf,
    },
}

#[derive(Args)]
pub struct MeasureArgs {
    /// Rounds; medians are told
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Seconds of each part of a round
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Requests a second where times are measured
    #[arg(long, default_value_t = 4_000.0)]
    pace: f64,
    /// Measure what recording costs instead
    #[arg(long)]
    recording: bool,
    /// Measure the fleet tool over so many daemons instead
    #[arg(long)]
    daemons: Option<usize>,
    /// Measure what floods of control connections and takeovers add to requests instead
    #[arg(long)]
    disturbed: bool,
}

/// Seconds of each part of a round that may be asked for.
const MIN_PART_SECONDS: f64 = 0.2;
const MAX_PART_SECONDS: f64 = 60.0;
/// Requests a second that may be asked for.
const MIN_PACE: f64 = 1.0;
const MAX_PACE: f64 = 1e6;
/// Daemons that may be asked for.
const MAX_DAEMONS: usize = 1_000;

/// Why a lab command failed.
#[derive(Debug, Error)]
pub enum LabError {
    /// The path of the running program, which the commands start again, is unknown.
    #[error("the path of this program: {0}")]
    ProgramPath(#[source] std::io::Error),
    /// A scenario is neither one that comes with the program nor a file that can be read.
    #[error("{name:?} is no day that comes with the program ({}) and no file: {source}", NAMES.join(", "))]
    UnknownScenario {
        /// The name.
        name: String,
        /// Why it cannot be read as a file.
        #[source]
        source: std::io::Error,
    },
    /// A file holds no scenario that can be played.
    #[error(transparent)]
    BenchScenario(#[from] BenchScenarioError),
    /// A scenario could not be played to its end.
    #[error(transparent)]
    Run(#[from] ScenarioRunError),
    /// A measurement failed.
    #[error(transparent)]
    Measurement(#[from] MeasurementError),
    /// A measurement of scale failed.
    #[error(transparent)]
    Scale(#[from] ScaleError),
    /// A file of records could not be opened.
    #[error("{}: {source}", .path.display())]
    OpenRecords {
        /// The file.
        path: PathBuf,
        /// The system's error.
        #[source]
        source: std::io::Error,
    },
    /// A file of records could not be read.
    #[error("{}: {source}", .path.display())]
    ReadRecords {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        #[source]
        source: RecordFileError,
    },
}

fn program_path() -> Result<PathBuf, LabError> {
    std::env::current_exe().map_err(LabError::ProgramPath)
}

fn exit_code(is_good: bool) -> ExitCode {
    if is_good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn play(
    scenario: &Scenario,
    out: Option<PathBuf>,
    extra_args: &[String],
    release_decider: ReleaseDecider,
) -> Result<ExitCode, LabError> {
    let out = out.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("violetseam-{}-{}", scenario.name, std::process::id()))
    });
    println!("logs and records: {}", out.display());
    let runner = ScenarioRunner {
        program: program_path()?,
        out,
        extra_args: extra_args.to_vec(),
        number: 0,
        release_decider,
    };
    let outcome = runner.play(scenario, &mut |line| println!("{line}"))?;
    print!("{}", report::text(scenario, &outcome));
    Ok(exit_code(outcome.is_good()))
}

/// Plays the demo.
pub fn demo(args: &DemoArgs) -> Result<ExitCode, LabError> {
    let scenario = builtin_scenarios::demo();
    println!(
        "{} proxies, {} servers, {} requests a second for {} s; build {} is good, build {} is bad",
        scenario.proxies.len(),
        scenario.servers.len(),
        scenario.traffic.rate,
        scenario.length / 1_000_000,
        scenario.rollout.first_build + 1,
        scenario.rollout.first_build + 2
    );
    play(&scenario, args.out.clone(), &[], ReleaseDecider::Controller)
}

/// Runs a lab command.
pub fn run(command: &Command) -> Result<ExitCode, LabError> {
    match command {
        Command::Day { day, seed, out, stand_in_desk, serve } => {
            let mut scenario = find(day)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            let release_decider =
                if *stand_in_desk { ReleaseDecider::Simulated } else { ReleaseDecider::Controller };
            play(&scenario, out.clone(), serve, release_decider)
        }
        Command::List => {
            list();
            Ok(ExitCode::SUCCESS)
        }
        Command::Measure(args) => measure(args),
        Command::Scale(args) => {
            scale::run(args)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { file } => check(file),
    }
}

fn list() {
    for name in NAMES {
        println!("{name}");
    }
    println!("fleet days may name their proxies, and fleet-lending its loss in percent: fleet-lending:12:20");
}

fn measure(args: &MeasureArgs) -> Result<ExitCode, LabError> {
    let settings = MeasurementSettings {
        program: program_path()?,
        rounds: args.rounds.max(1),
        span: Duration::from_secs_f64(args.seconds.clamp(MIN_PART_SECONDS, MAX_PART_SECONDS)),
        pace: args.pace.clamp(MIN_PACE, MAX_PACE),
        out: std::env::temp_dir().join(format!("violetseam-measure-{}", std::process::id())),
        extra_args: Vec::new(),
    };
    let mut on_progress = |line: &str| eprintln!("{line}");
    let result = if let Some(daemons) = args.daemons {
        measurement::fleet_tool::measure(&settings, daemons.clamp(1, MAX_DAEMONS), &mut on_progress)?
    } else if args.disturbed {
        measurement::disturbance::measure(&settings, &mut on_progress)?
    } else if args.recording {
        measurement::recording::measure(&settings, &mut on_progress)?.to_string()
    } else {
        measurement::overhead::measure(&settings, &mut on_progress)?
    };
    print!("{result}");
    let _ = std::fs::remove_dir_all(&settings.out);
    Ok(ExitCode::SUCCESS)
}

/// A scenario that comes with the program, or one in a file.
fn find(name: &str) -> Result<Scenario, LabError> {
    if let Some(scenario) = builtin_scenarios::named(name) {
        return Ok(scenario);
    }
    let text =
        std::fs::read(name).map_err(|source| LabError::UnknownScenario { name: name.to_owned(), source })?;
    if let Ok(scenario) = serde_json::from_slice::<Scenario>(&text) {
        return Ok(scenario);
    }
    let bench = bench_scenario::read(&text)?;
    println!("drawn day at scale {:.2}", bench.scale);
    for note in &bench.notes {
        println!("  {note}");
    }
    Ok(bench.scenario)
}

fn check(path: &Path) -> Result<ExitCode, LabError> {
    let mut input =
        File::open(path).map_err(|source| LabError::OpenRecords { path: path.to_owned(), source })?;
    let (rules, entries) = violetseam_invariants::record_file::read(&mut input)
        .map_err(|source| LabError::ReadRecords { path: path.to_owned(), source })?;
    let check_report = violetseam_invariants::check(&rules, &entries);
    println!("{} records; looked at by rule: {:?}", entries.len(), check_report.examined);
    for violation in &check_report.violations {
        println!(
            "{:.3} s rule {}: {}",
            violation.at as f64 / 1e6,
            violation.rule.number(),
            violation.description
        );
    }
    println!("broken by rule: {:?}", check_report.violation_counts);
    print!("{}", report::fleet_bounds(&check_report));
    Ok(exit_code(check_report.all_hold()))
}
