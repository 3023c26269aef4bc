//! `violetseam publisher`, the daemon that distributes the configuration, and `violetseam publish`, its
//! client.

use crate::arguments::clamped_timeout;
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

/// Exit status if the publisher refused the request.
const REFUSED: u8 = 3;
/// Exit status if no response arrived.
const NO_ANSWER: u8 = 4;
const MICROS_PER_SECOND: f64 = 1e6;

#[derive(ClapArgs)]
pub struct Args {
    /// Directory of the durable state; only one publisher at a time may use it
    #[arg(long)]
    state: PathBuf,
    /// Address to listen on
    #[arg(long)]
    listen: SocketAddr,
    /// Term to publish under: the stored one or a higher one; a new state defaults to the wall clock in ms
    #[arg(long)]
    term: Option<u64>,
    /// Maximum number of open connections; further ones are closed
    #[arg(long, default_value_t = Bounds::CONNECTIONS)]
    connections: usize,
    /// Maximum bytes of unread changes per subscriber; the watch of a slower reader is closed
    #[arg(long, default_value_t = Bounds::UNREAD_BYTES)]
    unread_bytes: usize,
    /// Seconds in which a subscriber must read all its unread changes; otherwise its watch is closed
    #[arg(long, default_value_t = Bounds::CATCH_UP.as_secs_f64())]
    catch_up: f64,
    /// Maximum length of a request body, in bytes
    #[arg(long, default_value_t = Bounds::BODY_BYTES)]
    body_bytes: usize,
    /// Maximum number of versions in the log
    #[arg(long, default_value_t = LogLimits::default().deltas)]
    log_versions: usize,
    /// Maximum size of the log, in bytes
    #[arg(long, default_value_t = LogLimits::default().bytes)]
    log_bytes: usize,
    /// Maximum number of snapshots started per second; other subscribers are told when to retry
    #[arg(
        long,
        default_value_t = Bounds::SNAPSHOTS_PER_SECOND,
        value_parser = clap::value_parser!(u32).range(1..),
    )]
    snapshots_per_second: u32,
    /// Minimum level of log lines: error, warn, info or debug
    #[arg(long, default_value = "info")]
    log: String,
}

impl Args {
    fn settings(&self) -> anyhow::Result<Settings> {
        let catch_up = Duration::try_from_secs_f64(self.catch_up).context("--catch-up is invalid")?;
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
            bail!("--term must be between 1 and 2^53 - 1");
        }
        Ok(Settings { state: self.state.clone(), listen: self.listen, term, bounds })
    }
}

/// Runs a publisher until a signal stops it.
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
    /// Address of the publisher
    #[arg(long)]
    to: SocketAddr,
    /// File of JSON lines: the changes, or with --whole all resources
    #[arg(required_unless_present = "status", conflicts_with = "status")]
    file: Option<PathBuf>,
    /// Replace the whole configuration; every subscriber fetches a snapshot
    #[arg(long, conflicts_with = "status")]
    whole: bool,
    /// Show which subscriber has which version, since when, and which subscribers are behind
    #[arg(long)]
    status: bool,
    /// Show only subscribers that do not have the newest version
    #[arg(long, requires = "status")]
    behind: bool,
    /// Print the result as JSON
    #[arg(long)]
    json: bool,
    /// Seconds to wait for the response
    #[arg(long, default_value_t = 30.0)]
    timeout: f64,
}

/// Publishes a file, or shows the status. Exit status: 0 for success, 2 for invalid arguments, 3 if the
/// publisher refused, 4 if no response arrived.
pub fn publish(args: &PublishArgs) -> anyhow::Result<ExitCode> {
    let client = Client { publisher: args.to, timeout: clamped_timeout(args.timeout) };
    let Some(file) = &args.file else { return show_status(args, &client) };
    let body = std::fs::read(file).with_context(|| format!("cannot read {}", file.display()))?;
    let result = if args.whole { client.publish_whole(&body) } else { client.publish_changes(&body) };
    let published = match result {
        Ok(published) => published,
        Err(error) => return Ok(report_failure(&error)),
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
        Err(error) => return Ok(report_failure(&error)),
    };
    let newest = report.version;
    let subscriber_count = report.subscribers.len();
    let is_behind = |row: &SubscriberRow| row.status.version != Some(newest);
    let behind_count = report.subscribers.iter().filter(|row| is_behind(row)).count();
    if args.behind {
        report.subscribers.retain(is_behind);
    }
    if args.json {
        println!("{}", serde_json::to_string(&report)?);
        return Ok(ExitCode::SUCCESS);
    }
    print_heading(&report, subscriber_count, behind_count);
    for row in &report.subscribers {
        print_row(row);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_heading(report: &StatusReport, subscriber_count: usize, behind_count: usize) {
    println!("version {}, digest {}, {} resources", report.version, report.digest, report.resources);
    println!("the log continues from version {}", report.oldest_known);
    println!(
        "{behind_count} of {subscriber_count} subscribers behind; {} watches open, {} wait for a snapshot",
        report.watches, report.snapshots_waiting
    );
    if let Some(halted) = &report.halted {
        println!("NOTHING IS PUBLISHED: {halted}");
    }
    println!("{:<32} {:>22} {:>8} {:>10} {:>10}  watch", "subscriber", "version", "behind", "age", "heard");
}

/// Prints the line of one subscriber. The column `age` is the time since the version was acknowledged, and
/// `heard` the time since the subscriber last sent a request or a report.
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

fn report_failure(error: &ClientError) -> ExitCode {
    eprintln!("violetseam: {error}");
    match error {
        ClientError::Refused(_) => ExitCode::from(REFUSED),
        ClientError::Unreachable(_) | ClientError::NoAnswer(_) => ExitCode::from(NO_ANSWER),
    }
}
