//! `violetseam replay`: decides a recording again and compares.

use clap::Args as ClapArgs;
use std::path::PathBuf;
use std::process::ExitCode;
use violetseam_recorder::Interest;

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
    let interest = Interest { request: args.request, build: args.build };
    let report = violetseam_recorder::replay(&args.file, interest, &mut |line| println!("{line}"))?;
    println!("{} events, {} actions, {} starts", report.events, report.actions, report.starts);
    for (kind, count) in &report.kinds {
        println!("  {kind}: {count}");
    }
    if report.full {
        println!("the recording ended at its bound");
    }
    if let Some((event, recorded, again)) = report.difference {
        println!("different at event {event}:\n  recorded: {recorded}\n  now:      {again}");
        return Ok(ExitCode::FAILURE);
    }
    if let Some(fault) = report.fault {
        println!("stopped: {fault}; all before it is the same");
        return Ok(ExitCode::FAILURE);
    }
    println!("every action is the same");
    Ok(ExitCode::SUCCESS)
}
