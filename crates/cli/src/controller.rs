//! `violetseam controller`, the daemon that runs release plans, and `violetseam release`, which speaks to it.

use crate::logs;
use crate::serve::pair;
use clap::{Args as ClapArgs, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use violetseam_controller::control::{Request, Response, WatchCounts, send_request};
use violetseam_release::{Order, Reply};

#[derive(ClapArgs)]
pub struct Args {
    /// The controller's settings: a Starlark script with controller(...)
    #[arg(long)]
    settings: PathBuf,
    /// A value for the script's option(...): NAME=VALUE
    #[arg(long = "set", value_parser = pair)]
    set: Vec<(String, String)>,
    /// The folder of its durable state; those that stand by share it
    #[arg(long)]
    state: PathBuf,
    /// What is logged: error, warn, info, debug
    #[arg(long, default_value = "info")]
    log: String,
    /// Stop by itself after so many seconds
    #[arg(long)]
    stop_after: Option<u64>,
    /// Die at a step of the Nth batch, to see what a start makes of it: decided:N, durable:N, announced:N
    #[cfg(feature = "sabotage")]
    #[arg(long, value_parser = die_at)]
    die_at: Option<violetseam_controller::serve::CrashPoint>,
}

#[cfg(feature = "sabotage")]
fn die_at(text: &str) -> Result<violetseam_controller::serve::CrashPoint, String> {
    use violetseam_controller::serve::CrashPoint;
    let (step, batch) = text.split_once(':').ok_or("STEP:BATCH")?;
    let batch = batch.parse::<u64>().map_err(|e| e.to_string())?;
    match step {
        "decided" => Ok(CrashPoint::Decided(batch)),
        "durable" => Ok(CrashPoint::Durable(batch)),
        "announced" => Ok(CrashPoint::Announced(batch)),
        _ => Err("decided, durable or announced".into()),
    }
}

/// Runs a controller until it is told to stop.
pub fn serve(args: &Args) -> Result<ExitCode, String> {
    let settings = violetseam_controller::settings::read_file(&args.settings, &args.set);
    let settings = settings.map_err(|e| e.to_string())?;
    logs::start(&args.log)?;
    let name = settings.name.clone();
    let stop_after = args.stop_after.map(Duration::from_secs);
    #[cfg(feature = "sabotage")]
    if args.die_at.is_some() {
        violetseam_controller::serve::serve_until(settings, &args.state, args.die_at, |addr| {
            println!("{name} takes proxies on {addr}");
        })
        .map_err(|e| e.to_string())?;
        return Ok(ExitCode::SUCCESS);
    }
    let summary = violetseam_controller::serve::serve(settings, &args.state, stop_after, |addr| {
        println!("{name} takes proxies on {addr}");
    })
    .map_err(|e| e.to_string())?;
    tracing::info!(term = summary.term, "stopped");
    Ok(ExitCode::SUCCESS)
}

#[derive(ClapArgs)]
pub struct ReleaseArgs {
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
    word: Words,
}

#[derive(Subcommand)]
enum Words {
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

/// Says a word to a controller. Exit status: 0 it counts, 3 refused, moot or faulty, 4 no answer.
pub fn release(args: &ReleaseArgs) -> Result<ExitCode, String> {
    let who = args.who.clone().or_else(|| std::env::var("USER").ok()).unwrap_or_else(|| "unknown".into());
    let order = |order| Request::Order { operator: who.clone(), order };
    let word = match &args.word {
        Words::State => Request::Status,
        Words::Offer { file } => {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            Request::SubmitPlan { name: file.display().to_string(), text }
        }
        Words::Sign { wave } => Request::Approve { operator: who, wave: wave.clone() },
        Words::Unsign { wave } => Request::RevokeApproval { operator: who, wave: wave.clone() },
        Words::Hold { span } => order(Order::Hold((span.clamp(0.0, 7_776_000.0) * 1e6) as u64)),
        Words::Resume => order(Order::Resume),
        Words::Back => order(Order::Back),
        Words::Skip => order(Order::Skip),
    };
    let timeout = Duration::from_secs_f64(args.timeout.clamp(0.05, 600.0));
    let response = match send_request(&args.control, &word, timeout) {
        Ok(response) => response,
        Err(why) => {
            eprintln!("violetseam: no answer: {why}");
            return Ok(ExitCode::from(4));
        }
    };
    if args.json {
        println!("{}", serde_json::to_string(&response).map_err(|e| e.to_string())?);
    }
    let (well, text) = match response {
        Response::Status(status) => {
            let WatchCounts { proxies, platforms } = status.watches;
            let trouble = status.write_error.map_or(String::new(), |why| format!("\nnot kept: {why}"));
            let text = format!(
                "{}, term {}: {}\n{} votes stand; {proxies} proxies and {platforms} platforms watch{trouble}",
                status.name, status.term, status.description, status.votes
            );
            (true, text)
        }
        Response::Reply(Reply::Accepted) => (true, "it counts".into()),
        Response::Reply(Reply::Obsolete(why)) => (false, format!("moot: {why}")),
        Response::Reply(Reply::Rejected(why)) => (false, format!("REFUSED: {why}")),
        Response::InvalidPlan(faults) => {
            (false, format!("REFUSED, the plan has faults:\n{}", faults.join("\n")))
        }
        Response::Failed(why) => (false, format!("REFUSED: {why}")),
    };
    if !args.json {
        println!("{text}");
    }
    Ok(ExitCode::from(if well { 0 } else { 3 }))
}
