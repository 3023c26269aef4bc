//! `violetseam demo` and `violetseam lab`: scenarios and measurements on the simulated site.

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
    /// Directory for logs and records; defaults to a new one in the system's temporary directory
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run a scenario; exit status 0 only if no rule was violated and nothing else went wrong
    Day {
        /// Built-in scenario, or a file: a scenario of this program or one that the bench has drawn
        day: String,
        /// Seed of all random draws; defaults to the scenario's
        #[arg(long)]
        seed: Option<u64>,
        /// Directory for logs and records; defaults to a new one in the system's temporary directory
        #[arg(long)]
        out: Option<PathBuf>,
        /// Let the simulated release service decide on releases, instead of the controller
        #[arg(long)]
        stand_in_desk: bool,
        /// Further arguments of `serve` for each proxy; {position} is replaced by the proxy's position
        #[arg(last = true)]
        serve: Vec<String>,
    },
    /// List the built-in scenarios
    List,
    /// Measure the proxy against direct connections to the same servers, in one run
    Measure(MeasureArgs),
    /// Measure how a cost grows with the size of a fleet, and fit a curve to it
    Scale(scale::ScaleArgs),
    /// Check the records of a scenario against the rules again
    Check {
        /// Records file that a scenario run has written
        file: PathBuf,
    },
}

#[derive(Args)]
pub struct MeasureArgs {
    /// Number of rounds; medians over the rounds are reported
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Seconds of each part of a round
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Requests per second in the parts that measure times
    #[arg(long, default_value_t = 4_000.0)]
    pace: f64,
    /// Measure the cost of recording instead
    #[arg(long)]
    recording: bool,
    /// Measure the fleet tool with this many daemons instead
    #[arg(long)]
    daemons: Option<usize>,
    /// Measure the latency that floods of control connections and takeovers add to requests instead
    #[arg(long)]
    disturbed: bool,
}

/// The bounds of `--seconds`, the duration of each part of a round.
const MIN_PART_SECONDS: f64 = 0.2;
const MAX_PART_SECONDS: f64 = 60.0;
/// The bounds of `--pace`, in requests per second.
const MIN_PACE: f64 = 1.0;
const MAX_PACE: f64 = 1e6;
/// The upper bound of `--daemons`.
const MAX_DAEMONS: usize = 1_000;

/// Why a lab command failed.
#[derive(Debug, Error)]
pub enum LabError {
    /// The path of this program cannot be determined. The commands need it because they start the program as
    /// a proxy, controller or daemon.
    #[error("cannot determine the path of this program: {0}")]
    ProgramPath(#[source] std::io::Error),
    /// A scenario is neither built in nor a file that can be read.
    #[error(
        "{name:?} is no day that comes with the program ({}) and cannot be read as a file: {source}",
        NAMES.join(", ")
    )]
    UnknownScenario {
        /// The name that was given.
        name: String,
        /// Why it cannot be read as a file.
        #[source]
        source: std::io::Error,
    },
    /// A file contains no scenario that can be run.
    #[error(transparent)]
    BenchScenario(#[from] BenchScenarioError),
    /// The run of a scenario failed.
    #[error(transparent)]
    Run(#[from] ScenarioRunError),
    /// A measurement failed.
    #[error(transparent)]
    Measurement(#[from] MeasurementError),
    /// A measurement of the growth of a cost failed.
    #[error(transparent)]
    Scale(#[from] ScaleError),
    /// A records file could not be opened.
    #[error("cannot open the records file {}: {source}", .path.display())]
    OpenRecords {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// A records file could not be read.
    #[error("cannot read the records file {}: {source}", .path.display())]
    ReadRecords {
        /// The path of the file.
        path: PathBuf,
        /// What is wrong with the content of the file.
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

fn run_scenario(
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

/// Runs the demo scenario.
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
    run_scenario(&scenario, args.out.clone(), &[], ReleaseDecider::Controller)
}

/// Runs a lab command.
pub fn run(command: &Command) -> Result<ExitCode, LabError> {
    match command {
        Command::Day { day, seed, out, stand_in_desk, serve } => {
            let mut scenario = find_scenario(day)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            let release_decider =
                if *stand_in_desk { ReleaseDecider::Simulated } else { ReleaseDecider::Controller };
            run_scenario(&scenario, out.clone(), serve, release_decider)
        }
        Command::List => {
            print_scenario_names();
            Ok(ExitCode::SUCCESS)
        }
        Command::Measure(args) => measure(args),
        Command::Scale(args) => {
            scale::run(args)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { file } => check_records(file),
    }
}

fn print_scenario_names() {
    for name in NAMES {
        println!("{name}");
    }
    println!(
        "a fleet day takes its number of proxies, fleet-lending also its loss in percent: fleet-lending:12:20"
    );
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

/// Finds a built-in scenario, or else reads the file of that name, which holds a scenario of this program or
/// of the bench.
fn find_scenario(name: &str) -> Result<Scenario, LabError> {
    if let Some(scenario) = builtin_scenarios::named(name) {
        return Ok(scenario);
    }
    let content =
        std::fs::read(name).map_err(|source| LabError::UnknownScenario { name: name.to_owned(), source })?;
    if let Ok(scenario) = serde_json::from_slice::<Scenario>(&content) {
        return Ok(scenario);
    }
    let bench = bench_scenario::read(&content)?;
    println!("drawn day at scale {:.2}", bench.scale);
    for note in &bench.notes {
        println!("  {note}");
    }
    Ok(bench.scenario)
}

fn check_records(path: &Path) -> Result<ExitCode, LabError> {
    let mut file =
        File::open(path).map_err(|source| LabError::OpenRecords { path: path.to_owned(), source })?;
    let (rules, entries) = violetseam_invariants::record_file::read(&mut file)
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
