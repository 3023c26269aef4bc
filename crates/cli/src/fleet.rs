//! `violetseam fleet`: queries the daemons of a fleet, or sends all of them a command.

use crate::arguments::{clamped_timeout, operator_name, parse_script_option};
use crate::serve::key_files;
use anyhow::{Context, bail};
use clap::{Args as ClapArgs, Subcommand};
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use violetseam_fleet::report::{self, ExitStatus};
use violetseam_fleet::{CommandOptions, DaemonReading, Delivery, Fleet, select_members, wall_clock};
use violetseam_operator_commands::{Action, Request, Response};
use violetseam_settings::Identity;

/// The longest duration of a pause, in seconds: one day.
const MAX_PAUSE_S: f64 = 86_400.0;
/// The bounds of `watch --every`, in seconds.
const MIN_WATCH_INTERVAL_S: f64 = 0.1;
const MAX_WATCH_INTERVAL_S: f64 = 3_600.0;
/// The bounds of `--valid`, the validity of a command, in seconds.
const MIN_VALIDITY_S: f64 = 0.1;
const MAX_VALIDITY_S: f64 = 3_600.0;
const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(ClapArgs)]
pub struct Args {
    /// Fleet file: a Starlark script that calls member(name, control, groups) for each daemon
    #[arg(long)]
    fleet: PathBuf,
    /// Value that option(...) returns in the script, as NAME=VALUE; may be repeated
    #[arg(long = "set", value_parser = parse_script_option)]
    set: Vec<(String, String)>,
    /// Apply to this member or group only; may be repeated
    #[arg(long)]
    only: Vec<String>,
    /// Seconds to wait for each response of a daemon
    #[arg(long, default_value_t = 2.0)]
    timeout: f64,
    /// Maximum number of daemons that are contacted concurrently
    #[arg(long, default_value_t = 64)]
    parallel: usize,
    /// Send commands without asking for confirmation
    #[arg(long)]
    yes: bool,
    /// Print the result as JSON
    #[arg(long)]
    json: bool,
    /// Apply the command on all daemons or on none: prepare it on each, commit only if all are ready
    #[arg(long)]
    all_or_none: bool,
    /// Seconds after which a daemon no longer applies the command
    #[arg(long, default_value_t = 30.0)]
    valid: f64,
    /// Issuer of the command, for the audit log; defaults to the user's name
    #[arg(long)]
    issuer: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show the state of each daemon
    State,
    /// Show the state of each daemon repeatedly
    Watch {
        /// Seconds between two queries
        #[arg(long, default_value_t = 1.0)]
        every: f64,
        /// Number of queries; unlimited by default
        #[arg(long)]
        count: Option<u64>,
    },
    /// Show each daemon's share of the fleet's retry budgets
    Rights,
    /// Show which version of the distributed configuration each daemon has, and which daemons are behind
    Configuration,
    /// Show the name, boot number and program version of each daemon
    Whoami,
    /// Withhold votes on the current stage, or stop its clock
    Pause {
        /// Seconds until the pause ends without a further command
        #[arg(long = "for")]
        seconds: f64,
    },
    /// End a pause
    Resume,
    /// Vote to roll the current build back
    Back,
    /// Answer the requests in flight and accept no new ones
    Drain,
    /// Accept requests again
    Undrain,
    /// Change the log filter
    LogLevel {
        /// Filter, such as info or verdict=debug
        filter: String,
    },
    /// Read the settings again
    Reload,
}

/// Returns the action that a command requests; `None` if the command is a query, which changes nothing.
fn requested_action(command: &Command) -> Option<Action> {
    let action = match command {
        Command::State
        | Command::Watch { .. }
        | Command::Rights
        | Command::Configuration
        | Command::Whoami => return None,
        Command::Pause { seconds } => {
            let duration_us = (seconds.clamp(0.0, MAX_PAUSE_S) * MICROS_PER_SECOND as f64) as u64;
            Action::Pause { until_us: wall_clock() + duration_us }
        }
        Command::Resume => Action::Resume,
        Command::Back => Action::RollBack,
        Command::Drain => Action::Drain,
        Command::Undrain => Action::Undrain,
        Command::LogLevel { filter } => Action::LogLevel { filter: filter.clone() },
        Command::Reload => Action::Reload,
    };
    Some(action)
}

/// Runs a fleet command.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let fleet_file = violetseam_settings::read_fleet(&args.fleet, &args.set)?;
    let members = select_members(fleet_file.members, &args.only)?;
    let identity = fleet_file.identity.as_ref().map(client_tls).transpose()?;
    let fleet = Fleet { members, timeout: clamped_timeout(args.timeout), parallel: args.parallel, identity };
    let shows_progress = std::io::stderr().is_terminal();
    let total = fleet.members.len();
    let mut progress = |done: usize| {
        if shows_progress {
            eprint!("\r{done} of {total} ");
            let _ = std::io::stderr().flush();
        }
    };
    match &args.command {
        Command::Watch { every, count } => watch(args, &fleet, *every, *count),
        Command::State => show(args, report::state_table, &fleet, &mut progress),
        Command::Rights => show(args, report::quota_table, &fleet, &mut progress),
        Command::Configuration => show(args, report::configuration_table, &fleet, &mut progress),
        Command::Whoami => whoami(args, &fleet, &mut progress),
        command => send(args, command, &fleet, &mut progress),
    }
}

/// Loads the TLS client configuration of an operator's identity. Warns if its certificate expires soon.
fn client_tls(identity: &Identity) -> anyhow::Result<Arc<rustls::ClientConfig>> {
    let now_s = (wall_clock() / MICROS_PER_SECOND) as i64;
    let files = key_files(identity);
    let loaded =
        violetseam_tls_config::client_tls(&files, now_s).context("invalid identity in the fleet file")?;
    if loaded.expires_at_s - now_s < violetseam_tls_config::EXPIRY_WARNING_S {
        eprintln!("violetseam: the certificate {} expires in less than two weeks", files.cert.display());
    }
    Ok(loaded.config)
}

/// Shows the state `count` times, or without end if no count is given.
fn watch(args: &Args, fleet: &Fleet, every: f64, count: Option<u64>) -> anyhow::Result<ExitCode> {
    let interval = Duration::from_secs_f64(every.clamp(MIN_WATCH_INTERVAL_S, MAX_WATCH_INTERVAL_S));
    let mut remaining = count.unwrap_or(u64::MAX);
    while remaining > 0 {
        show(args, report::state_table, fleet, &mut |_| {})?;
        remaining -= 1;
        if remaining > 0 {
            std::thread::sleep(interval);
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Sends a command to all daemons after the operator has confirmed it, and prints the outcome on each.
fn send(
    args: &Args,
    command: &Command,
    fleet: &Fleet,
    progress: &mut dyn FnMut(usize),
) -> anyhow::Result<ExitCode> {
    let Some(action) = requested_action(command) else { bail!("the command is a query; nothing was sent") };
    if !args.yes && !is_confirmed(action.name(), fleet.members.len())? {
        bail!("the command was not confirmed; nothing was sent");
    }
    let issuer = operator_name(args.issuer.as_deref());
    let validity = Duration::from_secs_f64(args.valid.clamp(MIN_VALIDITY_S, MAX_VALIDITY_S));
    let delivery = if args.all_or_none { Delivery::AllOrNone } else { Delivery::Independent };
    let options = CommandOptions { issuer, validity, delivery };
    let command_report = fleet.send_command(&action, &options, progress);
    if args.json {
        println!("{}", report::command_json(&command_report));
    } else {
        print!("{}", report::command_table(&command_report));
    }
    Ok(ExitCode::from(report::exit_status(&command_report).code()))
}

/// Queries the state of each daemon and prints it as a table or as JSON.
fn show(
    args: &Args,
    format_table: impl Fn(&[DaemonReading]) -> String,
    fleet: &Fleet,
    progress: &mut dyn FnMut(usize),
) -> anyhow::Result<ExitCode> {
    let readings = fleet.state(progress);
    if args.json {
        println!("{}", report::state_json(&readings));
    } else {
        print!("{}", format_table(&readings));
    }
    let any_unanswered = readings.iter().any(|reading| reading.state.is_err());
    Ok(query_exit_code(any_unanswered))
}

/// Prints the name, boot number and program version of each daemon.
fn whoami(args: &Args, fleet: &Fleet, progress: &mut dyn FnMut(usize)) -> anyhow::Result<ExitCode> {
    let responses = fleet.query(&|_| Some(Request::Whoami), progress);
    let any_unanswered = responses.iter().any(Result::is_err);
    for (member, response) in fleet.members.iter().zip(responses) {
        let daemon = &member.name;
        match response {
            Ok(Response::Whoami { name, boot, version }) if args.json => {
                let identity =
                    serde_json::json!({"daemon": daemon, "name": name, "boot": boot, "version": version});
                println!("{identity}");
            }
            Ok(Response::Whoami { name, boot, version }) => {
                println!("{daemon}: {name}, boot {boot}, version {version}");
            }
            Ok(other) => println!("{daemon}: unexpected response: {other:?}"),
            Err(error) => println!("{daemon}: SILENT: {error}"),
        }
    }
    Ok(query_exit_code(any_unanswered))
}

/// Returns the exit code of a query.
fn query_exit_code(any_unanswered: bool) -> ExitCode {
    let status = if any_unanswered { ExitStatus::Unanswered } else { ExitStatus::Success };
    ExitCode::from(status.code())
}

/// Asks the operator on the terminal whether to send the command.
fn is_confirmed(action: &str, daemon_count: usize) -> anyhow::Result<bool> {
    if !std::io::stdin().is_terminal() {
        bail!("standard input is not a terminal, so the command cannot be confirmed; pass --yes");
    }
    eprint!("{action} on {daemon_count} daemons? [y/N] ");
    let _ = std::io::stderr().flush();
    let mut line = String::new();
    std::io::stdin().read_line(&mut line)?;
    Ok(matches!(line.trim(), "y" | "yes"))
}
