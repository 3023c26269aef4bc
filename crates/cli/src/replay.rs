//! `violetseam replay`: feeds the events of a recording to a new decision module and compares its actions
//! with the recorded ones.

use clap::Args as ClapArgs;
use std::path::PathBuf;
use std::process::ExitCode;
use violetseam_recorder::{Difference, ReplayFilter};

#[derive(ClapArgs)]
pub struct Args {
    /// Recording that `serve --record` has written
    file: PathBuf,
    /// Print all events and actions of this request
    #[arg(long)]
    request: Option<u64>,
    /// Print the release status changes, votes and verdicts on this build
    #[arg(long)]
    build: Option<u16>,
}

/// Replays a recording. The exit status is 1 if an action differs or the recording is damaged.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let filter = ReplayFilter { request: args.request, build: args.build };
    let report = violetseam_recorder::replay(&args.file, filter, &mut |line| println!("{line}"))?;
    println!("{} events, {} actions, {} starts", report.events, report.actions, report.starts);
    for (kind, count) in &report.kinds {
        println!("  {kind}: {count}");
    }
    if report.reached_size_limit {
        println!("the recording ended because it reached its size limit");
    }
    if let Some(Difference { event_number, recorded, replayed }) = report.difference {
        println!(
            "the actions differ at event {event_number}:\n  recorded: {recorded}\n  replayed: {replayed}"
        );
        return Ok(ExitCode::FAILURE);
    }
    if let Some(error) = report.read_error {
        println!("the replay stopped: {error}; all actions before it are the same");
        return Ok(ExitCode::FAILURE);
    }
    println!("all actions are the same");
    Ok(ExitCode::SUCCESS)
}
