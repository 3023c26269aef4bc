//! The violetseam program. Each subcommand is a thin layer over its package.

mod controller;
mod fleet;
mod lab;
mod logs;
mod plan;
mod platform;
mod publisher;
mod serve;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use violetseam_recorder::{Difference, ReplayFilter};

#[derive(Parser)]
#[command(version, about = "Release controller and the router that moves traffic between builds")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a day on a fleet of stand-ins: two proxies, one good release, one bad one; under a minute
    Demo(lab::DemoArgs),
    /// Run a proxy in the foreground; SIGTERM drains it
    Serve(serve::Args),
    /// Ask every daemon of a fleet, or tell them all
    Fleet(fleet::Args),
    /// Release plans: check, show, compare, rehearse
    #[command(subcommand)]
    Plan(plan::Command),
    /// Run a release controller in the foreground
    Controller(controller::Args),
    /// Speak to a release controller
    Release(controller::ReleaseArgs),
    /// Run a configuration publisher in the foreground
    Publisher(publisher::Args),
    /// Publish changes of the configuration, or show who has which version
    Publish(publisher::PublishArgs),
    /// Settings scripts
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Have a fresh decision module decide a recording again, and compare
    Replay {
        /// The recording, as `serve --record` wrote it
        file: PathBuf,
        /// Print all that concerns this request
        #[arg(long)]
        request: Option<u64>,
        /// Print news, votes and findings on this build
        #[arg(long)]
        build: Option<u16>,
    },
    /// Scripted days on real sockets, the rules checked from the wire
    #[command(subcommand)]
    Lab(lab::Command),
}

#[derive(Subcommand)]
enum SettingsCommand {
    /// Read a script, say what is wrong with it or that nothing is
    Check {
        /// The script
        file: PathBuf,
        /// A value for the script's option(...): NAME=VALUE
        #[arg(long = "set", value_parser = serve::pair)]
        set: Vec<(String, String)>,
    },
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Demo(args) => lab::demo(&args),
        Command::Serve(args) => serve::run(&args),
        Command::Fleet(args) => fleet::run(&args),
        Command::Plan(command) => plan::run(&command),
        Command::Controller(args) => controller::serve(&args),
        Command::Release(args) => controller::release(&args),
        Command::Publisher(args) => publisher::serve(&args),
        Command::Publish(args) => publisher::publish(&args),
        Command::Settings(SettingsCommand::Check { file, set }) => {
            violetseam_settings::read_file(&file, &set).map(|s| {
                let (classes, routes) = (s.class_names.len(), s.routes.len());
                println!("{}: {classes} classes, {routes} routes, no fault found", file.display());
                ExitCode::SUCCESS
            })
        }
        .map_err(|fault| fault.to_string()),
        Command::Replay { file, request, build } => replay(&file, ReplayFilter { request, build }),
        Command::Lab(command) => lab::run(&command),
    };
    result.unwrap_or_else(|why| {
        eprintln!("violetseam: {why}");
        ExitCode::from(2)
    })
}

fn replay(file: &std::path::Path, filter: ReplayFilter) -> Result<ExitCode, String> {
    let report = violetseam_recorder::replay(file, filter, &mut |line| println!("{line}"))
        .map_err(|fault| fault.to_string())?;
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
