//! `violetseam fleet`: asks every daemon of a fleet, or tells them all.

use crate::arguments::{operator_name, script_option, timeout};
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

/// The longest pause, in seconds: a day.
const MAX_PAUSE_S: f64 = 86_400.0;
/// The bounds of `watch --every`, in seconds.
const MIN_WATCH_INTERVAL_S: f64 = 0.1;
const MAX_WATCH_INTERVAL_S: f64 = 3_600.0;
/// The bounds of `--valid`, in seconds.
const MIN_VALIDITY_S: f64 = 0.1;
const MAX_VALIDITY_S: f64 = 3_600.0;
const MICROS_PER_SECOND: u64 = 1_000_000;

#[derive(ClapArgs)]
pub struct Args {
    /// The fleet file: a Starlark script of member(name, control, groups)
    #[arg(long)]
    fleet: PathBuf,
    /// A value for the script's option(...): NAME=VALUE
    #[arg(long = "set", value_parser = script_option)]
    set: Vec<(String, String)>,
    /// Only this member or group; may be given again
    #[arg(long)]
    only: Vec<String>,
    /// Seconds that a daemon may take for each answer
    #[arg(long, default_value_t = 2.0)]
    timeout: f64,
    /// Daemons that are spoken to at once
    #[arg(long, default_value_t = 64)]
    parallel: usize,
    /// Do not ask before something is changed
    #[arg(long)]
    yes: bool,
    /// Print JSON
    #[arg(long)]
    json: bool,
    /// Apply it on all or on none: prepare first, commit only if all are ready
    #[arg(long)]
    all_or_none: bool,
    /// Seconds in which the command may still be applied
    #[arg(long, default_value_t = 30.0)]
    valid: f64,
    /// Who issues it, for the audit log; the user's name if not given
    #[arg(long)]
    issuer: Option<String>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show the state of each
    State,
    /// Show the state of each, again and again
    Watch {
        /// Seconds between two readings
        #[arg(long, default_value_t = 1.0)]
        every: f64,
        /// How often; without end if not given
        #[arg(long)]
        count: Option<u64>,
    },
    /// Show what each holds of the fleet's budgets, side by side
    Rights,
    /// Show which version of the distributed configuration each has, and who is behind
    Configuration,
    /// Show name, boot number and version of each
    Whoami,
    /// Withhold votes on the present stage, or hold its clock
    Pause {
        /// Seconds until the pause ends by itself
        #[arg(long = "for")]
        span: f64,
    },
    /// End a pause
    Resume,
    /// Vote the present build back
    Back,
    /// Answer what was taken and take nothing new
    Drain,
    /// Take requests again
    Undrain,
    /// Set another log filter
    LogLevel {
        /// Such as info or verdict=debug
        filter: String,
    },
    /// Read the settings again
    Reload,
}

/// The action that a command asks for; `None` if it only asks for something.
fn action(command: &Command) -> Option<Action> {
    let action = match command {
        Command::State
        | Command::Watch { .. }
        | Command::Rights
        | Command::Configuration
        | Command::Whoami => return None,
        Command::Pause { span } => {
            let span_us = (span.clamp(0.0, MAX_PAUSE_S) * MICROS_PER_SECOND as f64) as u64;
            Action::Pause { until_us: wall_clock() + span_us }
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
    let file = violetseam_settings::read_fleet(&args.fleet, &args.set)?;
    let members = select_members(file.members, &args.only)?;
    let identity = file.identity.as_ref().map(client_tls).transpose()?;
    let fleet = Fleet { members, timeout: timeout(args.timeout), parallel: args.parallel, identity };
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

/// The TLS settings of an operator's identity; warns where its certificate ends soon.
fn client_tls(identity: &Identity) -> anyhow::Result<Arc<rustls::ClientConfig>> {
    let now_s = (wall_clock() / MICROS_PER_SECOND) as i64;
    let files = key_files(identity);
    let loaded = violetseam_tls_config::client_tls(&files, now_s).context("identity")?;
    if loaded.expires_at_s - now_s < violetseam_tls_config::EXPIRY_WARNING_S {
        eprintln!("violetseam: {} ends in under two weeks", files.cert.display());
    }
    Ok(loaded.config)
}

/// Shows the state again and again, `count` times or for ever.
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

/// Sends a command to all daemons, once it is confirmed, and reports what became of it.
fn send(
    args: &Args,
    command: &Command,
    fleet: &Fleet,
    progress: &mut dyn FnMut(usize),
) -> anyhow::Result<ExitCode> {
    let Some(action) = action(command) else { bail!("nothing to do") };
    if !args.yes && !confirmed(action.name(), fleet.members.len())? {
        bail!("not confirmed, nothing was sent");
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

/// Shows the state of each daemon as a table or as JSON.
fn show(
    args: &Args,
    table: impl Fn(&[DaemonReading]) -> String,
    fleet: &Fleet,
    progress: &mut dyn FnMut(usize),
) -> anyhow::Result<ExitCode> {
    let readings = fleet.state(progress);
    if args.json {
        println!("{}", report::state_json(&readings));
    } else {
        print!("{}", table(&readings));
    }
    let any_unanswered = readings.iter().any(|reading| reading.state.is_err());
    Ok(query_exit_code(any_unanswered))
}

/// Prints name, boot number and version of each daemon.
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
            Ok(other) => println!("{daemon}: answered something else: {other:?}"),
            Err(error) => println!("{daemon}: SILENT: {error}"),
        }
    }
    Ok(query_exit_code(any_unanswered))
}

/// The exit code for a request that changes nothing.
fn query_exit_code(any_unanswered: bool) -> ExitCode {
    let status = if any_unanswered { ExitStatus::Unanswered } else { ExitStatus::Success };
    ExitCode::from(status.code())
}

/// Asks the operator whether to go on.
fn confirmed(action: &str, daemons: usize) -> anyhow::Result<bool> {
    if !std::io::stdin().is_terminal() {
        bail!("give --yes to change something without being asked");
    }
    eprint!("{action} on {daemons} daemons? [y/N] ");
    let _ = std::io::stderr().flush();
    let mut line = String::new();
    std::io::stdin().read_line(&mut line)?;
    Ok(matches!(line.trim(), "y" | "yes"))
}
