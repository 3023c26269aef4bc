//! `violetseam release`: queries a release controller, or sends it a plan, an approval or an order.

use crate::arguments::{clamped_timeout, operator_name};
use anyhow::Context;
use clap::{Args as ClapArgs, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use violetseam_controller::control::{Request, Response, Status, WatchCounts, send_request};
use violetseam_release::{Order, Reply};

/// Exit status if the controller refused the request, or if the order no longer applies.
const REFUSED: u8 = 3;
/// Exit status if no response arrived.
const NO_ANSWER: u8 = 4;
/// The longest duration of a hold, in seconds: 90 days.
const MAX_HOLD_S: f64 = 7_776_000.0;
const MICROS_PER_SECOND: f64 = 1e6;

#[derive(ClapArgs)]
pub struct Args {
    /// Path of the controller's control socket
    #[arg(long)]
    control: PathBuf,
    /// Operator who sends the request; defaults to the user's name
    #[arg(long = "as")]
    operator: Option<String>,
    /// Seconds to wait for the response
    #[arg(long, default_value_t = 5.0)]
    timeout: f64,
    /// Print the result as JSON
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Show the state of the release and what it waits for
    State,
    /// Submit a plan in one file; the controller checks it again
    Offer {
        /// File of the plan
        file: PathBuf,
    },
    /// Sign off a wave
    Sign {
        /// Name of the wave
        wave: String,
    },
    /// Revoke the sign-off of a wave
    Unsign {
        /// Name of the wave
        wave: String,
    },
    /// Hold the release for a limited time
    Hold {
        /// Seconds until the release continues without a further order
        #[arg(long = "for")]
        seconds: f64,
    },
    /// End a hold
    Resume,
    /// Roll the build back
    Back,
    /// Skip the rest of the current bake time
    Skip,
}

/// Sends a request to a controller. Exit status: 0 if it was accepted, 3 if it was refused, was obsolete or
/// had faults, 4 if no response arrived.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    let request = request(args)?;
    let response = match send_request(&args.control, &request, clamped_timeout(args.timeout)) {
        Ok(response) => response,
        Err(error) => {
            eprintln!("violetseam: no answer from the controller: {error}");
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
    let operator = operator_name(args.operator.as_deref());
    let request = match &args.command {
        Command::State => Request::Status,
        Command::Offer { file } => plan_submission(file)?,
        Command::Sign { wave } => Request::Approve { operator, wave: wave.clone() },
        Command::Unsign { wave } => Request::RevokeApproval { operator, wave: wave.clone() },
        Command::Hold { seconds } => Request::Order { operator, order: hold_order(*seconds) },
        Command::Resume => Request::Order { operator, order: Order::Resume },
        Command::Back => Request::Order { operator, order: Order::Back },
        Command::Skip => Request::Order { operator, order: Order::Skip },
    };
    Ok(request)
}

fn plan_submission(file: &Path) -> anyhow::Result<Request> {
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    Ok(Request::SubmitPlan { name: file.display().to_string(), text })
}

fn hold_order(seconds: f64) -> Order {
    Order::Hold((seconds.clamp(0.0, MAX_HOLD_S) * MICROS_PER_SECOND) as u64)
}

fn is_accepted(response: &Response) -> bool {
    matches!(response, Response::Status(_) | Response::Reply(Reply::Accepted))
}

fn response_text(response: &Response) -> String {
    match response {
        Response::Status(status) => status_text(status),
        Response::Reply(Reply::Accepted) => "accepted".to_owned(),
        Response::Reply(Reply::Obsolete(reason)) => format!("moot: {reason}"),
        Response::Reply(Reply::Rejected(reason)) => format!("REFUSED: {reason}"),
        Response::InvalidPlan(faults) => format!("REFUSED, the plan has faults:\n{}", faults.join("\n")),
        Response::Failed(reason) => format!("REFUSED: {reason}"),
    }
}

fn status_text(status: &Status) -> String {
    let WatchCounts { proxies, platforms } = status.watches;
    let write_error = match &status.write_error {
        Some(reason) => format!("\nthe journal cannot be written: {reason}"),
        None => String::new(),
    };
    format!(
        "{}, term {}: {}\n{} votes count; {proxies} proxies and {platforms} platforms watch{write_error}",
        status.name, status.term, status.description, status.votes
    )
}
