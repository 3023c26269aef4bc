//! `violetseam release`: asks a release controller, or gives it an order.

use crate::arguments::{operator_name, timeout};
use anyhow::Context;
use clap::{Args as ClapArgs, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use violetseam_controller::control::{Request, Response, Status, WatchCounts, send_request};
use violetseam_release::{Order, Reply};

/// Exit status where the controller refused, or the order no longer applies.
const REFUSED: u8 = 3;
/// Exit status where there was no answer.
const NO_ANSWER: u8 = 4;
/// The longest hold, in seconds: 90 days.
const MAX_HOLD_S: f64 = 7_776_000.0;
const MICROS_PER_SECOND: f64 = 1e6;

#[derive(ClapArgs)]
pub struct Args {
    /// The controller's control socket
    #[arg(long)]
    control: PathBuf,
    /// Who says it; the user's name if not given
    #[arg(long = "as")]
    who: Option<String>,
    /// Seconds to wait for the answer
    #[arg(long, default_value_t = 5.0)]
    timeout: f64,
    /// Print JSON
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show where the release stands and what it waits for
    State,
    /// Offer a plan: one file, checked by the controller again
    Offer {
        /// The plan
        file: PathBuf,
    },
    /// Approve a wave
    Sign {
        /// The wave
        wave: String,
    },
    /// Take an approval back
    Unsign {
        /// The wave
        wave: String,
    },
    /// Stop the release for a while
    Hold {
        /// Seconds until it goes on by itself
        #[arg(long = "for")]
        span: f64,
    },
    /// Let it go on
    Resume,
    /// Send the build back
    Back,
    /// Skip what is left of a soak
    Skip,
}

/// Sends a request to a controller. Exit status: 0 it counts, 3 refused, obsolete or faulty, 4 no answer.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let request = request(args)?;
    let response = match send_request(&args.control, &request, timeout(args.timeout)) {
        Ok(response) => response,
        Err(error) => {
            eprintln!("violetseam: no answer: {error}");
            return Ok(ExitCode::from(NO_ANSWER));
        }
    };
    if args.json {
        println!("{}", serde_json::to_string(&response)?);
    } else {
        println!("{}", response_text(&response));
    }
    let status = if is_accepted(&response) { ExitCode::SUCCESS } else { ExitCode::from(REFUSED) };
    Ok(status)
}

fn request(args: &Args) -> anyhow::Result<Request> {
    let operator = operator_name(args.who.as_deref());
    let request = match &args.command {
        Command::State => Request::Status,
        Command::Offer { file } => plan_submission(file)?,
        Command::Sign { wave } => Request::Approve { operator, wave: wave.clone() },
        Command::Unsign { wave } => Request::RevokeApproval { operator, wave: wave.clone() },
        Command::Hold { span } => Request::Order { operator, order: hold(*span) },
        Command::Resume => Request::Order { operator, order: Order::Resume },
        Command::Back => Request::Order { operator, order: Order::Back },
        Command::Skip => Request::Order { operator, order: Order::Skip },
    };
    Ok(request)
}

fn plan_submission(file: &Path) -> anyhow::Result<Request> {
    let text = std::fs::read_to_string(file).with_context(|| file.display().to_string())?;
    Ok(Request::SubmitPlan { name: file.display().to_string(), text })
}

fn hold(seconds: f64) -> Order {
    Order::Hold((seconds.clamp(0.0, MAX_HOLD_S) * MICROS_PER_SECOND) as u64)
}

fn is_accepted(response: &Response) -> bool {
    matches!(response, Response::Status(_) | Response::Reply(Reply::Accepted))
}

fn response_text(response: &Response) -> String {
    match response {
        Response::Status(status) => status_text(status),
        Response::Reply(Reply::Accepted) => "it counts".to_owned(),
        Response::Reply(Reply::Obsolete(reason)) => format!("moot: {reason}"),
        Response::Reply(Reply::Rejected(reason)) => format!("REFUSED: {reason}"),
        Response::InvalidPlan(faults) => format!("REFUSED, the plan has faults:\n{}", faults.join("\n")),
        Response::Failed(reason) => format!("REFUSED: {reason}"),
    }
}

fn status_text(status: &Status) -> String {
    let WatchCounts { proxies, platforms } = status.watches;
    let write_error = match &status.write_error {
        Some(reason) => format!("\nnot kept: {reason}"),
        None => String::new(),
    };
    format!(
        "{}, term {}: {}\n{} votes stand; {proxies} proxies and {platforms} platforms watch{write_error}",
        status.name, status.term, status.description, status.votes
    )
}
