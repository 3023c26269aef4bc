//! `violetseam plan`: reads, checks, shows, compares and rehearses release plans.

mod text;

use crate::arguments::script_option;
use anyhow::{Context, anyhow};
use clap::{Args as ClapArgs, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use violetseam_plan::{Micros, Plan, moment_of};
use violetseam_plan_simulation::{chart, play};

#[derive(ClapArgs)]
pub struct Source {
    /// The plan, a Starlark script
    file: PathBuf,
    /// A value for the script's option(...): NAME=VALUE
    #[arg(long = "set", value_parser = script_option)]
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

fn moment(at: Option<&str>, zone: &str) -> anyhow::Result<Micros> {
    let Some(at) = at else { return Ok(now()) };
    moment_of(at, zone).ok_or_else(|| anyhow!("{at:?} in {zone:?} is no moment: 2026-12-01T08:00, IANA zone"))
}

impl Source {
    /// The moment of the offer.
    fn moment(&self) -> anyhow::Result<Micros> {
        moment(self.at.as_deref(), &self.zone)
    }

    fn read(&self, at: Micros) -> anyhow::Result<Plan> {
        read(&self.file, &self.set, at)
    }
}

fn read(file: &Path, set: &[(String, String)], at: Micros) -> anyhow::Result<Plan> {
    violetseam_plan::read_file(file, set, at).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let count = if lines.len() == 1 { "1 fault".to_owned() } else { format!("{} faults", lines.len()) };
        anyhow!("{count}\n{}", lines.join("\n"))
    })
}

/// Runs a plan command.
pub fn run(command: &Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Check(source) => check(source),
        Command::Show { source, json } => show(source, *json),
        Command::Diff { before, after, at } => diff(before, after, at.as_deref()),
        Command::Simulate { source, script, chart } => simulate(source, script.as_deref(), chart.as_deref()),
    }
}

fn check(source: &Source) -> anyhow::Result<ExitCode> {
    let plan = source.read(source.moment()?)?;
    println!("{}: build {}, {} waves, no fault found", plan.name, plan.build, plan.waves.len());
    Ok(ExitCode::SUCCESS)
}

fn show(source: &Source, json: bool) -> anyhow::Result<ExitCode> {
    let at = source.moment()?;
    let plan = source.read(at)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&plan)?);
    } else {
        text::print_plan(&plan, at);
    }
    Ok(ExitCode::SUCCESS)
}

fn diff(before: &Path, after: &Path, at: Option<&str>) -> anyhow::Result<ExitCode> {
    let at = moment(at, "UTC")?;
    let before = read(before, &[], at)?;
    let after = read(after, &[], at)?;
    let differences = violetseam_plan::diff(&before, &after);
    for line in &differences {
        println!("{line}");
    }
    Ok(if differences.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn simulate(source: &Source, script: Option<&Path>, chart: Option<&Path>) -> anyhow::Result<ExitCode> {
    let script = script.map(|path| violetseam_plan_simulation::read_file(path, &[])).transpose()?;
    let at = match &script {
        Some(script) => script.start,
        None => source.moment()?,
    };
    let plan = source.read(at)?;
    let build_before = plan.build.checked_sub(1).unwrap_or(1);
    let script = script.unwrap_or_else(|| violetseam_plan_simulation::healthy(&plan, at, build_before));
    let played = play(&plan, &script, &mut |_| {});
    text::print_timeline(&played);
    if let Some(path) = chart {
        let svg = chart::svg(&plan, &played).map_err(anyhow::Error::msg)?;
        std::fs::write(path, svg).with_context(|| path.display().to_string())?;
    }
    Ok(ExitCode::SUCCESS)
}
