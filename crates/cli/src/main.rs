//! The violetseam program. Each subcommand parses its arguments and calls the package that implements it.

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

/// Exit status of a command that failed or has invalid arguments.
const FAILED: u8 = 2;

#[derive(Parser)]
#[command(version, about = "Release controller and the router that moves traffic between builds")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario on a simulated site in less than a minute: two proxies, a good release and a bad one
    Demo(lab::DemoArgs),
    /// Run a proxy in the foreground; SIGTERM drains it
    Serve(serve::Args),
    /// Query the daemons of a fleet, or send all of them a command
    Fleet(fleet::Args),
    /// Check, show, compare and simulate release plans
    #[command(subcommand)]
    Plan(plan::Command),
    /// Run a release controller in the foreground
    Controller(controller::Args),
    /// Query a release controller, or send it an order
    Release(release::Args),
    /// Run a configuration publisher in the foreground
    Publisher(publisher::Args),
    /// Publish changes of the configuration, or show which subscriber has which version
    Publish(publisher::PublishArgs),
    /// Check settings scripts
    #[command(subcommand)]
    Settings(settings::Command),
    /// Feed a recording to a new decision module and compare its actions with the recorded ones
    Replay(replay::Args),
    /// Run scenarios on real sockets and check the rules from the observed traffic, or run measurements
    #[command(subcommand)]
    Lab(lab::Command),
}

fn main() -> ExitCode {
    run(Cli::parse().command).unwrap_or_else(|error| {
        eprintln!("violetseam: {}", error_line(&error));
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

/// Returns an error and its causes as one line. A cause whose text is already part of the line is left out,
/// because many errors of the packages end with the text of their source.
fn error_line(error: &anyhow::Error) -> String {
    let mut text = error.to_string();
    for cause in error.chain().skip(1).map(ToString::to_string) {
        if !text.contains(&cause) {
            text.push_str(": ");
            text.push_str(&cause);
        }
    }
    text
}
