//! `violetseam demo` and `violetseam lab`.

use clap::{Args, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use violetseam_scale_bench as scale;
use violetseam_scenarios::{Lab, days, disturbed, drawn, fleet, measure, report};
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
    Measure {
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
    },
    /// Measure how a cost grows with the size of a fleet, and fit it
    Scale(scale::ScaleArgs),
    /// Check the records of a day again
    Check {
        /// The records, as a day wrote them
        file: PathBuf,
    },
}

fn play(
    day: &Scenario,
    out: Option<PathBuf>,
    extra: &[String],
    stand_in_desk: bool,
) -> Result<ExitCode, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let out = out.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("violetseam-{}-{}", day.name, std::process::id()))
    });
    println!("logs and records: {}", out.display());
    let lab = Lab { program, out, extra: extra.to_vec(), number: 0, stand_in_desk };
    let outcome = lab.play(day, &mut |line| println!("{line}"))?;
    print!("{}", report::text(day, &outcome));
    Ok(if outcome.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Plays the demo.
pub fn demo(args: &DemoArgs) -> Result<ExitCode, String> {
    let day = days::demo();
    println!(
        "{} proxies, {} servers, {} requests a second for {} s; build {} is good, build {} is bad",
        day.proxies.len(),
        day.servers.len(),
        day.traffic.rate,
        day.length / 1_000_000,
        day.rollout.first_build + 1,
        day.rollout.first_build + 2
    );
    play(&day, args.out.clone(), &[], false)
}

/// Runs a lab command.
pub fn run(command: &Command) -> Result<ExitCode, String> {
    match command {
        Command::Day { day, seed, out, stand_in_desk, serve } => {
            let mut day = find(day)?;
            day.seed = seed.unwrap_or(day.seed);
            play(&day, out.clone(), serve, *stand_in_desk)
        }
        Command::List => {
            days::NAMES.iter().for_each(|name| println!("{name}"));
            println!(
                "fleet days may name their proxies, and fleet-lending its loss in percent: fleet-lending:12:20"
            );
            Ok(ExitCode::SUCCESS)
        }
        Command::Measure { rounds, seconds, pace, recording, daemons, disturbed: disturbances } => {
            let plan = measure::Plan {
                program: std::env::current_exe().map_err(|e| e.to_string())?,
                rounds: (*rounds).max(1),
                span: Duration::from_secs_f64(seconds.clamp(0.2, 60.0)),
                pace: pace.clamp(1.0, 1e6),
                out: std::env::temp_dir().join(format!("violetseam-measure-{}", std::process::id())),
                extra: Vec::new(),
            };
            let mut say = |line: &str| eprintln!("{line}");
            if let Some(daemons) = daemons {
                print!("{}", fleet::fleet(&plan, (*daemons).clamp(1, 1_000), &mut say)?);
            } else if *disturbances {
                print!("{}", disturbed::disturbed(&plan, &mut say)?);
            } else if *recording {
                let [plain, recorded, ratio] = measure::recording(&plan, &mut say)?;
                println!("plain {plain:.0}, recorded {recorded:.0} requests/s, median ratio {ratio:.3}");
            } else {
                print!("{}", measure::measure(&plan, &mut say)?);
            }
            let _ = std::fs::remove_dir_all(&plan.out);
            Ok(ExitCode::SUCCESS)
        }
        Command::Scale(args) => {
            scale::run(args).map_err(|e| e.to_string())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Check { file } => check(file),
    }
}

fn find(name: &str) -> Result<Scenario, String> {
    if let Some(day) = days::named(name) {
        return Ok(day);
    }
    let text = std::fs::read(name).map_err(|e| {
        format!(
            "{name:?} is no day that comes with the program ({}) and no file: {e}",
            days::NAMES.join(", ")
        )
    })?;
    if let Ok(day) = serde_json::from_slice::<Scenario>(&text) {
        return Ok(day);
    }
    let drawn = drawn::read(&text)?;
    println!("drawn day at scale {:.2}", drawn.scale);
    drawn.notes.iter().for_each(|note| println!("  {note}"));
    Ok(drawn.day)
}

fn check(file: &Path) -> Result<ExitCode, String> {
    let mut input = std::fs::File::open(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let (rules, entries) = violetseam_invariants::record_file::read(&mut input)
        .map_err(|e| format!("{}: {e}", file.display()))?;
    let verdict = violetseam_invariants::check(&rules, &entries);
    println!("{} records; looked at by rule: {:?}", entries.len(), verdict.examined);
    for v in &verdict.violations {
        println!("{:.3} s rule {}: {}", v.at as f64 / 1e6, v.rule.number(), v.description);
    }
    println!("broken by rule: {:?}", verdict.violation_counts);
    print!("{}", report::fleet_bounds(&verdict));
    Ok(if verdict.all_hold() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
