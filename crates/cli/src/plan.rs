//! `violetseam plan`: reads, checks, shows, compares and rehearses release plans.

use crate::serve::pair;
use clap::{Args as ClapArgs, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use violetseam_plan::{Micros, Plan, moment_of};
use violetseam_plan_simulation::{SimulationRun, chart, simulate};

#[derive(ClapArgs)]
pub struct Source {
    /// The plan, a Starlark script
    file: PathBuf,
    /// A value for the script's option(...): NAME=VALUE
    #[arg(long = "set", value_parser = pair)]
    set: Vec<(String, String)>,
    /// The moment of the offer, such as 2026-12-01T08:00; now if not given
    #[arg(long)]
    at: Option<String>,
    /// The time zone of that moment
    #[arg(long, default_value = "UTC")]
    zone: String,
}

#[derive(Subcommand)]
pub enum Command {
    /// Say what is wrong with a plan for a release offered at a moment, or that nothing is
    Check(Source),
    /// Show a plan with its windows of the next days
    Show {
        #[command(flatten)]
        source: Source,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Say what differs between two plans; exit status 1 if anything does
    Diff {
        /// The plan before
        before: PathBuf,
        /// The plan after
        after: PathBuf,
        /// The moment of the offer, UTC; now if not given
        #[arg(long)]
        at: Option<String>,
    },
    /// Play a plan on a simulated clock, with a script of events or with everybody agreeing
    Simulate {
        #[command(flatten)]
        source: Source,
        /// What people, proxies, places and clocks do; it says when it begins
        #[arg(long)]
        script: Option<PathBuf>,
        /// Write a chart there (SVG)
        #[arg(long)]
        chart: Option<PathBuf>,
    },
}

fn now() -> Micros {
    violetseam_fleet::wall_clock()
}

fn moment(at: Option<&str>, zone: &str) -> Result<Micros, String> {
    match at {
        None => Ok(now()),
        Some(at) => moment_of(at, zone)
            .ok_or_else(|| format!("{at:?} in {zone:?} is no moment: 2026-12-01T08:00, IANA zone")),
    }
}

fn read(file: &Path, set: &[(String, String)], at: Micros) -> Result<Plan, String> {
    violetseam_plan::read_file(file, set, at).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let many = if lines.len() == 1 { "1 fault".to_owned() } else { format!("{} faults", lines.len()) };
        format!("{many}\n{}", lines.join("\n"))
    })
}

/// Runs a plan command.
pub fn run(command: &Command) -> Result<ExitCode, String> {
    match command {
        Command::Check(source) => {
            let plan = read(&source.file, &source.set, moment(source.at.as_deref(), &source.zone)?)?;
            println!("{}: build {}, {} waves, no fault found", plan.name, plan.build, plan.waves.len());
            Ok(ExitCode::SUCCESS)
        }
        Command::Show { source, json } => {
            let at = moment(source.at.as_deref(), &source.zone)?;
            let plan = read(&source.file, &source.set, at)?;
            if *json {
                println!("{}", serde_json::to_string_pretty(&plan).map_err(|e| e.to_string())?);
            } else {
                show(&plan, at);
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Diff { before, after, at } => {
            let at = moment(at.as_deref(), "UTC")?;
            let lines = violetseam_plan::diff(&read(before, &[], at)?, &read(after, &[], at)?);
            lines.iter().for_each(|line| println!("{line}"));
            Ok(if lines.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Command::Simulate { source, script, chart } => {
            let script = match script {
                Some(path) => {
                    Some(violetseam_plan_simulation::read_file(path, &[]).map_err(|e| e.to_string())?)
                }
                None => None,
            };
            let at = match &script {
                Some(script) => script.start,
                None => moment(source.at.as_deref(), &source.zone)?,
            };
            let plan = read(&source.file, &source.set, at)?;
            let before = plan.build.checked_sub(1).unwrap_or(1);
            let script =
                script.unwrap_or_else(|| violetseam_plan_simulation::default_script(&plan, at, before));
            let run = simulate(&plan, &script, &mut |_| {});
            print_timeline(&run);
            if let Some(path) = chart {
                std::fs::write(path, chart::draw_svg(&plan, &run).map_err(|e| e.to_string())?)
                    .map_err(|e| format!("{}: {e}", path.display()))?;
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn span(micros: Micros) -> String {
    let s = micros / 1_000_000;
    format!("{}:{:02}:{:02}", s / 3_600, s / 60 % 60, s % 60)
}

fn show(plan: &Plan, at: Micros) {
    println!("{}: build {}, at most {}", plan.name, plan.build, span(plan.longest));
    for (n, wave) in plan.waves.iter().enumerate() {
        let gate = format!("{:?}", wave.gate).to_lowercase();
        println!(
            "  stage {n} {:?}: {} of {} places, cap {}, soak {}, gate {gate} ({} votes; {} back), window closes: {}",
            wave.name,
            wave.places.len(),
            plan.fleet.places,
            wave.cap,
            span(wave.soak),
            plan.deciding_votes(wave),
            plan.votes_to_roll_back(wave),
            format!("{:?}", wave.on_close).to_lowercase()
        );
        for hold in plan.holds.iter().filter(|h| h.before == wave.name) {
            let most = hold.at_most.map_or(String::new(), |most| format!(", at most {}", span(most)));
            println!("    held before it, left by {:?}{most}", hold.leave);
        }
        for s in plan.sign_offs.iter().filter(|s| s.wave == wave.name) {
            println!("    approved by {} of {:?} within {}", s.count, s.by, span(s.within));
        }
    }
    for o in &plan.overrides {
        println!("  {} may {:?}", o.who, o.may);
    }
    println!("  open, from the moment of the offer on:");
    for interval in plan.calendar.open_intervals(at, at + plan.longest).into_iter().take(20) {
        println!("    +{} to +{}", span(interval.start - at), span(interval.end - at));
    }
}

fn print_timeline(run: &SimulationRun) {
    for entry in &run.timeline {
        println!("+{}  {}", span(entry.at), entry.text);
    }
    println!("end: {}", run.final_status);
}
