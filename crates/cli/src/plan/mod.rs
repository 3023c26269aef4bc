//! `violetseam plan`: checks, shows, compares and simulates release plans.

mod text;

use crate::arguments::parse_script_option;
use anyhow::{Context, anyhow};
use clap::{Args as ClapArgs, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use violetseam_plan::{Micros, Plan, moment_of};
use violetseam_plan_simulation::chart;

#[derive(ClapArgs)]
pub struct Source {
    /// File of the plan: a Starlark script
    file: PathBuf,
    /// Value that option(...) returns in the script, as NAME=VALUE; may be repeated
    #[arg(long = "set", value_parser = parse_script_option)]
    set: Vec<(String, String)>,
    /// Time of submission, such as 2026-12-01T08:00; defaults to now
    #[arg(long)]
    at: Option<String>,
    /// IANA time zone of the time of submission
    #[arg(long, default_value = "UTC")]
    zone: String,
}

#[derive(Subcommand)]
pub enum Command {
    /// Check a plan for a release that is submitted at a given time, and report all its faults
    Check(Source),
    /// Show a plan and the windows in which its calendar is open
    Show {
        #[command(flatten)]
        source: Source,
        /// Print the plan as JSON
        #[arg(long)]
        json: bool,
    },
    /// Show the differences between two plans; the exit status is 1 if there are any
    Diff {
        /// File of the old plan
        before: PathBuf,
        /// File of the new plan
        after: PathBuf,
        /// Time of submission in UTC; defaults to now
        #[arg(long)]
        at: Option<String>,
    },
    /// Simulate the release of a plan, with a script of events or with all votes and sign-offs given
    Simulate {
        #[command(flatten)]
        source: Source,
        /// Script of what operators, proxies, places and clocks do; it also sets the time of submission
        #[arg(long)]
        script: Option<PathBuf>,
        /// Write a chart of the simulation to this file, as SVG
        #[arg(long)]
        chart: Option<PathBuf>,
    },
}

fn now() -> Micros {
    violetseam_fleet::wall_clock()
}

fn parse_moment(at: Option<&str>, zone: &str) -> anyhow::Result<Micros> {
    let Some(at) = at else { return Ok(now()) };
    moment_of(at, zone).ok_or_else(|| {
        anyhow!("{at:?} in {zone:?} is not a valid time; expected 2026-12-01T08:00, IANA zone")
    })
}

impl Source {
    /// Returns the time at which the plan is submitted.
    fn submission_time(&self) -> anyhow::Result<Micros> {
        parse_moment(self.at.as_deref(), &self.zone)
    }

    fn read(&self, at: Micros) -> anyhow::Result<Plan> {
        read_plan(&self.file, &self.set, at)
    }
}

fn read_plan(file: &Path, script_options: &[(String, String)], at: Micros) -> anyhow::Result<Plan> {
    violetseam_plan::read_file(file, script_options, at).map_err(|faults| {
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
    let plan = source.read(source.submission_time()?)?;
    println!("{}: build {}, {} waves, no fault found", plan.name, plan.build, plan.waves.len());
    Ok(ExitCode::SUCCESS)
}

fn show(source: &Source, json: bool) -> anyhow::Result<ExitCode> {
    let at = source.submission_time()?;
    let plan = source.read(at)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&plan)?);
    } else {
        text::print_plan(&plan, at);
    }
    Ok(ExitCode::SUCCESS)
}

fn diff(before: &Path, after: &Path, at: Option<&str>) -> anyhow::Result<ExitCode> {
    let at = parse_moment(at, "UTC")?;
    let before = read_plan(before, &[], at)?;
    let after = read_plan(after, &[], at)?;
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
        None => source.submission_time()?,
    };
    let plan = source.read(at)?;
    let earlier_build = plan.build.checked_sub(1).unwrap_or(1);
    let script =
        script.unwrap_or_else(|| violetseam_plan_simulation::default_script(&plan, at, earlier_build));
    let run = violetseam_plan_simulation::simulate(&plan, &script, &mut |_| {});
    text::print_timeline(&run);
    if let Some(path) = chart {
        let svg = chart::draw_svg(&plan, &run)?;
        std::fs::write(path, svg).with_context(|| format!("cannot write the chart {}", path.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}
