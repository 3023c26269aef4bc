//! `violetseam replay`: decides a recording again and compares.

use clap::Args as ClapArgs;
use std::path::PathBuf;
use std::process::ExitCode;
use violetseam_recorder::{Difference, ReplayFilter};

#[derive(ClapArgs)]
pub struct Args {
    /// The recording, as `serve --record` wrote it
    file: PathBuf,
    /// Print all that concerns this request
    #[arg(long)]
    request: Option<u64>,
    /// Print news, votes and findings on this build
    #[arg(long)]
    build: Option<u16>,
}

/// Replays a recording. Exit status 1 if an action differs or the recording is damaged.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let filter = ReplayFilter { request: args.request, build: args.build };
    let report = violetseam_recorder::replay(&args.file, filter, &mut |line| println!("{line}"))?;
    println!("{} events, {} actions, {} starts", report.events, report.actions, report.starts);
    for (kind, count) in &report.kinds {
        println!("  {kind}: {count}");
    }
    if report.reached_size_limit {
        println!("the recording ended at its bound");
    }
    if let Some(Difference { event_number, recorded, replayed }) = report.difference {
        println!("different at event {event_number}:\n  recorded: {recorded}\n  now:      {replayed}");
        return Ok(ExitCode::FAILURE);
    }
    if let Some(error) = report.read_error {
        println!("stopped: {error}; all before it is the same");
        return Ok(ExitCode::FAILURE);
    }
    println!("every action is the same");
    Ok(ExitCode::SUCCESS)
}
