//! `violetseam controller`: the daemon that runs release plans.

use crate::arguments::parse_script_option;
use crate::logs;
use clap::Args as ClapArgs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(ClapArgs)]
pub struct Args {
    /// Settings file of the controller: a Starlark script that calls controller(...)
    #[arg(long)]
    settings: PathBuf,
    /// Value that option(...) returns in the script, as NAME=VALUE; may be repeated
    #[arg(long = "set", value_parser = parse_script_option)]
    set: Vec<(String, String)>,
    /// Directory of the durable state; the standby controllers use the same one
    #[arg(long)]
    state: PathBuf,
    /// Minimum level of log lines: error, warn, info or debug
    #[arg(long, default_value = "info")]
    log: String,
    /// Stop after this many seconds
    #[arg(long)]
    stop_after: Option<u64>,
    /// Abort at a step of the Nth batch, to test the next start: decided:N, durable:N or announced:N
    #[cfg(feature = "sabotage")]
    #[arg(long, value_parser = parse_crash_point)]
    die_at: Option<violetseam_controller::serve::CrashPoint>,
}

/// The argument of `--die-at` is malformed.
#[cfg(feature = "sabotage")]
#[derive(Debug, thiserror::Error)]
enum CrashPointError {
    #[error("expected STEP:BATCH")]
    NoSeparator,
    #[error("the batch is not a number: {0}")]
    Batch(#[from] std::num::ParseIntError),
    #[error("the step must be decided, durable or announced")]
    UnknownStep,
}

#[cfg(feature = "sabotage")]
fn parse_crash_point(text: &str) -> Result<violetseam_controller::serve::CrashPoint, CrashPointError> {
    use violetseam_controller::serve::CrashPoint;
    let (step, batch) = text.split_once(':').ok_or(CrashPointError::NoSeparator)?;
    let batch = batch.parse::<u64>()?;
    match step {
        "decided" => Ok(CrashPoint::Decided(batch)),
        "durable" => Ok(CrashPoint::Durable(batch)),
        "announced" => Ok(CrashPoint::Announced(batch)),
        _ => Err(CrashPointError::UnknownStep),
    }
}

/// Runs a controller until a signal or `--stop-after` stops it.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let settings = violetseam_controller::settings::read_file(&args.settings, &args.set)?;
    logs::start(&args.log)?;
    let name = settings.name.clone();
    let on_listening = |address| println!("{name} takes proxies on {address}");
    #[cfg(feature = "sabotage")]
    if args.die_at.is_some() {
        violetseam_controller::serve::serve_until(settings, &args.state, args.die_at, on_listening)?;
        return Ok(ExitCode::SUCCESS);
    }
    let stop_after = args.stop_after.map(Duration::from_secs);
    let summary = violetseam_controller::serve::serve(settings, &args.state, stop_after, on_listening)?;
    tracing::info!(term = summary.term, "controller stopped");
    Ok(ExitCode::SUCCESS)
}
