//! `violetseam publisher`, the daemon that distributes the configuration, and `violetseam publish`, which
//! speaks to it.

use crate::arguments::timeout;
use crate::logs;
use anyhow::{Context, bail};
use clap::Args as ClapArgs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use violetseam_distribution::publisher::LogLimits;
use violetseam_distribution::{Term, Version};
use violetseam_publisher::client::{Client, ClientError};
use violetseam_publisher::protocol::{StatusReport, SubscriberRow};
use violetseam_publisher::settings::{Bounds, Settings};

/// Exit status where the publisher refused.
const REFUSED: u8 = 3;
/// Exit status where there was no answer.
const NO_ANSWER: u8 = 4;
const MICROS_PER_SECOND: f64 = 1e6;

#[derive(ClapArgs)]
pub struct Args {
    /// The folder of its durable state; one publisher at a time
    #[arg(long)]
    state: PathBuf,
    /// Where it listens
    #[arg(long)]
    listen: SocketAddr,
    /// Go on under this term: the stored one or a higher one. A new state takes the wall clock's milliseconds
    #[arg(long)]
    term: Option<u64>,
    /// Connections at once; further ones are closed
    #[arg(long, default_value_t = Bounds::CONNECTIONS)]
    connections: usize,
    /// Bytes of changes that may wait for a subscriber that reads slowly; past it its watch is closed
    #[arg(long, default_value_t = Bounds::UNREAD_BYTES)]
    unread_bytes: usize,
    /// Seconds in which a subscriber must have read all that waits for it; else its watch is closed
    #[arg(long, default_value_t = Bounds::CATCH_UP.as_secs_f64())]
    catch_up: f64,
    /// Bytes of the longest request body
    #[arg(long, default_value_t = Bounds::BODY_BYTES)]
    body_bytes: usize,
    /// Versions that the log reaches back
    #[arg(long, default_value_t = LogLimits::default().deltas)]
    log_versions: usize,
    /// Bytes of the log
    #[arg(long, default_value_t = LogLimits::default().bytes)]
    log_bytes: usize,
    /// Snapshots that are begun a second; others are told when to come back
    #[arg(
        long,
        default_value_t = Bounds::SNAPSHOTS_PER_SECOND,
        value_parser = clap::value_parser!(u32).range(1..),
    )]
    snapshots_per_second: u32,
    /// What is logged: error, warn, info, debug
    #[arg(long, default_value = "info")]
    log: String,
}

impl Args {
    fn settings(&self) -> anyhow::Result<Settings> {
        let catch_up = Duration::try_from_secs_f64(self.catch_up).context("--catch-up")?;
        let bounds = Bounds {
            connections: self.connections,
            unread_bytes: self.unread_bytes,
            catch_up,
            body_bytes: self.body_bytes,
            log: LogLimits { deltas: self.log_versions, bytes: self.log_bytes },
            snapshots_per_second: self.snapshots_per_second,
        };
        let term = self.term.map(Term);
        if term.is_some_and(|term| term == Term(0) || !Version::new(term, 0).is_bounded()) {
            bail!("--term: 1 to 2^53 - 1");
        }
        Ok(Settings { state: self.state.clone(), listen: self.listen, term, bounds })
    }
}

/// Runs a publisher until it is told to stop.
pub fn serve(args: &Args) -> anyhow::Result<ExitCode> {
    let settings = args.settings()?;
    logs::start(&args.log)?;
    violetseam_publisher::serve::serve(settings, |address, version| {
        println!("publishes from version {version} on {address}");
    })?;
    Ok(ExitCode::SUCCESS)
}

#[derive(ClapArgs)]
pub struct PublishArgs {
    /// The publisher's address
    #[arg(long)]
    to: SocketAddr,
    /// JSON lines: changes, or with --whole all resources
    #[arg(required_unless_present = "status", conflicts_with = "status")]
    file: Option<PathBuf>,
    /// Replace the whole configuration; every subscriber takes a snapshot
    #[arg(long, conflicts_with = "status")]
    whole: bool,
    /// Show who has which version, since when, and who is behind
    #[arg(long)]
    status: bool,
    /// Of the status, only those who do not hold the newest version
    #[arg(long, requires = "status")]
    behind: bool,
    /// Print JSON
    #[arg(long)]
    json: bool,
    /// Seconds to wait for the answer
    #[arg(long, default_value_t = 30.0)]
    timeout: f64,
}

/// Publishes or shows the status. Exit status: 0 done, 2 faulty arguments, 3 refused, 4 no answer.
pub fn publish(args: &PublishArgs) -> anyhow::Result<ExitCode> {
    let client = Client { publisher: args.to, timeout: timeout(args.timeout) };
    let Some(file) = &args.file else { return show_status(args, &client) };
    let lines = std::fs::read(file).with_context(|| file.display().to_string())?;
    let result = if args.whole { client.publish_whole(&lines) } else { client.publish_changes(&lines) };
    let published = match result {
        Ok(published) => published,
        Err(error) => return Ok(failed(&error)),
    };
    if args.json {
        println!("{}", serde_json::to_string(&published)?);
    } else {
        println!("published as version {}, digest {}", published.version, published.digest);
    }
    Ok(ExitCode::SUCCESS)
}

fn show_status(args: &PublishArgs, client: &Client) -> anyhow::Result<ExitCode> {
    let mut report = match client.status() {
        Ok(report) => report,
        Err(error) => return Ok(failed(&error)),
    };
    let newest = report.version;
    let known = report.subscribers.len();
    let is_behind = |row: &SubscriberRow| row.status.version != Some(newest);
    let behind = report.subscribers.iter().filter(|row| is_behind(row)).count();
    if args.behind {
        report.subscribers.retain(is_behind);
    }
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
        return Ok(ExitCode::SUCCESS);
    }
    print_heading(&report, known, behind);
    for row in &report.subscribers {
        print_row(row);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_heading(report: &StatusReport, known: usize, behind: usize) {
    println!("version {}, digest {}, {} resources", report.version, report.digest, report.resources);
    println!("the log leads on from version {}", report.oldest_known);
    println!(
        "{behind} of {known} subscribers behind; {} watches open, {} wait for a snapshot",
        report.watches, report.snapshots_waiting
    );
    if let Some(halted) = &report.halted {
        println!("NOTHING IS PUBLISHED: {halted}");
    }
    println!("{:<32} {:>22} {:>8} {:>10} {:>10}  watch", "subscriber", "version", "behind", "age", "heard");
}

/// The age is that of the version held; `heard` is when the subscriber last called or reported.
fn print_row(row: &SubscriberRow) {
    let status = &row.status;
    let version = status.version.map_or("none".to_owned(), |version| version.to_string());
    let behind = status.behind.map_or("?".to_owned(), |behind| behind.to_string());
    let seconds = |micros: u64| format!("{:.1} s", micros as f64 / MICROS_PER_SECOND);
    let age = seconds(status.version_age);
    let heard = seconds(status.last_contact_age);
    let watch = if row.watching { "open" } else { "closed" };
    print!("{:<32} {version:>22} {behind:>8} {age:>10} {heard:>10}  {watch}", status.subscriber);
    match &status.rejected {
        Some(rejection) => println!("  refused {}: {}", rejection.version, rejection.reason),
        None => println!(),
    }
}

fn failed(error: &ClientError) -> ExitCode {
    eprintln!("violetseam: {error}");
    match error {
        ClientError::Refused(_) => ExitCode::from(REFUSED),
        ClientError::Unreachable(_) | ClientError::NoAnswer(_) => ExitCode::from(NO_ANSWER),
    }
}
