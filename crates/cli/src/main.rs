//! The violetseam program. Each subcommand is a thin layer over its package.

mod arguments;
mod controller;
mod fleet;
mod lab;
mod logs;
mod plan;
mod platform;
mod publisher;
mod release;
mod replay;
mod serve;
mod settings;

use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Exit status where a command failed or its arguments are faulty.
const FAILED: u8 = 2;

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
    Release(release::Args),
    /// Run a configuration publisher in the foreground
    Publisher(publisher::Args),
    /// Publish changes of the configuration, or show who has which version
    Publish(publisher::PublishArgs),
    /// Settings scripts
    #[command(subcommand)]
    Settings(settings::Command),
    /// Have a fresh decision module decide a recording again, and compare
    Replay(replay::Args),
    /// Scripted days on real sockets, the rules checked from the wire
    #[command(subcommand)]
    Lab(lab::Command),
}

fn main() -> ExitCode {
    run(Cli::parse().command).unwrap_or_else(|error| {
        eprintln!("violetseam: {}", describe(&error));
        ExitCode::from(FAILED)
    })
}

fn run(command: Command) -> anyhow::Result<ExitCode> {
    match command {
        Command::Demo(args) => Ok(lab::demo(&args)?),
        Command::Serve(args) => serve::run(&args),
        Command::Fleet(args) => fleet::run(&args),
        Command::Plan(command) => plan::run(&command),
        Command::Controller(args) => controller::run(&args),
        Command::Release(args) => release::run(&args),
        Command::Publisher(args) => publisher::serve(&args),
        Command::Publish(args) => publisher::publish(&args),
        Command::Settings(command) => settings::run(&command),
        Command::Replay(args) => replay::run(&args),
        Command::Lab(command) => Ok(lab::run(&command)?),
    }
}

/// An error and its causes on one line. A cause that the text before it already states is left out: many
/// errors of the packages end with the text of their source.
fn describe(error: &anyhow::Error) -> String {
    let mut text = error.to_string();
    for cause in error.chain().skip(1).map(ToString::to_string) {
        if !text.contains(&cause) {
            text.push_str(": ");
            text.push_str(&cause);
        }
    }
    text
}
