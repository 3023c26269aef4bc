//! `violetseam serve`: runs one proxy in the foreground.

mod operators;

pub use operators::key_files;

use crate::arguments::parse_script_option;
use crate::logs::{self, LogFormat};
use anyhow::{Context, bail};
use clap::Args as ClapArgs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use violetseam_proxy::driver::{Options, Recording, Summary, inherit, serve_with_operators};
use violetseam_recorder::RecordingLimits;
use violetseam_settings::read_file;

#[derive(ClapArgs)]
pub struct Args {
    /// Settings script of the proxy
    #[arg(long, required_unless_present = "platform")]
    settings: Option<PathBuf>,
    /// Serve the platform's protocol only, configured by environment variables and the file of PROXY_CONFIG
    #[arg(long, conflicts_with_all = ["settings", "set", "record", "time_module", "takeover", "stop_after"])]
    platform: bool,
    /// Value that option(...) returns in the script, as NAME=VALUE; may be repeated
    #[arg(long = "set", value_parser = parse_script_option)]
    set: Vec<(String, String)>,
    /// Record every event and action to this path, for `replay`
    #[arg(long)]
    record: Option<PathBuf>,
    /// Maximum size of a recording, in bytes; recording stops there
    #[arg(long, default_value_t = RecordingLimits::default().max_total_bytes)]
    record_most: u64,
    /// Format of the log lines on standard error
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// Log filter: error, warn, info, debug, or one for a target such as verdict=info
    #[arg(long, default_value = "info")]
    log: String,
    /// Measure the time spent in the decision module and print it at the end
    #[arg(long)]
    time_module: bool,
    /// Take over the sockets and the learned state of the running process, which then drains and ends
    #[arg(long)]
    takeover: bool,
    /// Stop after this many seconds
    #[arg(long)]
    stop_after: Option<u64>,
    /// Break a rule on purpose, to test that the rule checker reports it
    #[cfg(feature = "sabotage")]
    #[arg(long, value_enum)]
    sabotage: Option<SabotageName>,
}

#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, clap::ValueEnum)]
enum SabotageName {
    DoubleSend,
    LateAnswer,
    IgnoreDrains,
    Spendthrift,
}

#[cfg(feature = "sabotage")]
impl From<SabotageName> for violetseam_proxy::driver::Sabotage {
    fn from(name: SabotageName) -> Self {
        match name {
            SabotageName::DoubleSend => Self::DoubleSend,
            SabotageName::LateAnswer => Self::LateResponse,
            SabotageName::IgnoreDrains => Self::IgnoreDrains,
            SabotageName::Spendthrift => Self::IgnoreBudgets,
        }
    }
}

impl Args {
    fn options(&self) -> Options {
        let limits = RecordingLimits { max_total_bytes: self.record_most, ..RecordingLimits::default() };
        Options {
            record: self.record.clone().map(|path| Recording { path, limits }),
            measure_module_time: self.time_module,
            stop_after: self.stop_after.map(Duration::from_secs),
            stop: None,
            #[cfg(feature = "sabotage")]
            sabotage: self.sabotage.map(Into::into),
        }
    }
}

/// Runs a proxy until a signal, a takeover or `--stop-after` stops it.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    if args.platform {
        // The platform has no operator commands, so the function that changes the filter is not used.
        let _set_log = logs::start_changeable(&args.log, args.log_format)?;
        return crate::platform::run();
    }
    let file = args.settings.as_ref().context("--settings is required without --platform")?;
    let settings = read_file(file, &args.set)?;
    let set_log = logs::start_changeable(&args.log, args.log_format)?;
    let name = format!("{}-{}", settings.fleet_name, settings.decisions.position);
    let inherited = match (args.takeover, &settings.control_socket) {
        (false, _) => None,
        (true, Some(control)) => Some(inherit(control)?),
        (true, None) => bail!("--takeover requires a control socket in the settings"),
    };
    let operators = operators::operators(args, file, &settings, set_log)?;
    let summary = serve_with_operators(settings, args.options(), operators, inherited, |addresses| {
        for address in addresses {
            println!("{name} takes clients on {address}");
        }
    })?;
    Ok(report_summary(args, &summary))
}

/// Prints the summary of the run. The exit status is 1 if connections or requests were left open.
fn report_summary(args: &Args, summary: &Summary) -> ExitCode {
    if args.time_module {
        let seconds = summary.module_time.as_secs_f64();
        println!("module {seconds:.3} s over {} requests", summary.counts.received);
    }
    if summary.left_in_flight > 0 || summary.left_open > 0 {
        eprintln!("left open: {} connections, {} requests", summary.left_open, summary.left_in_flight);
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
