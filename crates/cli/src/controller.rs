//! `violetseam controller`: the daemon that runs release plans.

use crate::arguments::script_option;
use crate::logs;
use clap::Args as ClapArgs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(ClapArgs)]
pub struct Args {
    /// The controller's settings: a Starlark script with controller(...)
    #[arg(long)]
    settings: PathBuf,
    /// A value for the script's option(...): NAME=VALUE
    #[arg(long = "set", value_parser = script_option)]
    set: Vec<(String, String)>,
    /// The folder of its durable state; those that stand by share it
    #[arg(long)]
    state: PathBuf,
    /// What is logged: error, warn, info, debug
    #[arg(long, default_value = "info")]
    log: String,
    /// Stop by itself after so many seconds
    #[arg(long)]
    stop_after: Option<u64>,
    /// Die at a step of the Nth batch, to see what a start makes of it: decided:N, durable:N, announced:N
    #[cfg(feature = "sabotage")]
    #[arg(long, value_parser = crash_point)]
    die_at: Option<violetseam_controller::serve::CrashPoint>,
}

/// The value of `--die-at` cannot be read.
#[cfg(feature = "sabotage")]
#[derive(Debug, thiserror::Error)]
enum CrashPointError {
    #[error("STEP:BATCH")]
    NoSeparator,
    #[error("{0}")]
    Batch(#[from] std::num::ParseIntError),
    #[error("decided, durable or announced")]
    UnknownStep,
}

#[cfg(feature = "sabotage")]
fn crash_point(text: &str) -> Result<violetseam_controller::serve::CrashPoint, CrashPointError> {
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

/// Runs a controller until it is told to stop.
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
    tracing::info!(term = summary.term, "stopped");
    Ok(ExitCode::SUCCESS)
}
