//! `violetseam serve`: one proxy in the foreground.

mod operators;

pub use operators::key_files;

use crate::arguments::script_option;
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
    /// The settings script
    #[arg(long, required_unless_present = "platform")]
    settings: Option<PathBuf>,
    /// Serve on the platform's protocol, as the environment and PROXY_CONFIG tell; nothing else is opened
    #[arg(long, conflicts_with_all = ["settings", "set", "record", "time_module", "takeover", "stop_after"])]
    platform: bool,
    /// A value for the script's option(...): NAME=VALUE
    #[arg(long = "set", value_parser = script_option)]
    set: Vec<(String, String)>,
    /// Record every event and action there, for `replay`
    #[arg(long)]
    record: Option<PathBuf>,
    /// The most bytes a recording may take; it ends there
    #[arg(long, default_value_t = RecordingLimits::default().max_total_bytes)]
    record_most: u64,
    /// How log lines are written, to standard error
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// What is logged: error, warn, info, debug, or filters such as verdict=info
    #[arg(long, default_value = "info")]
    log: String,
    /// Measure the time spent in the decision module and tell it at the end
    #[arg(long)]
    time_module: bool,
    /// Take the sockets and what was learned from the process that serves now, which then drains and ends
    #[arg(long)]
    takeover: bool,
    /// Stop by itself after so many seconds
    #[arg(long)]
    stop_after: Option<u64>,
    /// Break the rules on purpose, to see the checker notice
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

/// Runs a proxy until it is told to stop.
pub fn run(args: &Args) -> anyhow::Result<ExitCode> {
    if args.platform {
        // The platform has no operators who would change the filter.
        let _set_log = logs::start_changeable(&args.log, args.log_format)?;
        return crate::platform::run();
    }
    let file = args.settings.as_ref().context("--settings is wanted")?;
    let settings = read_file(file, &args.set)?;
    let set_log = logs::start_changeable(&args.log, args.log_format)?;
    let name = format!("{}-{}", settings.fleet_name, settings.decisions.position);
    let inherited = match (args.takeover, &settings.control_socket) {
        (false, _) => None,
        (true, Some(control)) => Some(inherit(control)?),
        (true, None) => bail!("--takeover needs a control socket in the settings"),
    };
    let operators = operators::operators(args, file, &settings, set_log)?;
    let summary = serve_with_operators(settings, args.options(), operators, inherited, |addresses| {
        for address in addresses {
            println!("{name} takes clients on {address}");
        }
    })?;
    Ok(report_end(args, &summary))
}

/// Prints what is to say at the end. Exit status 1 if requests or connections were left.
fn report_end(args: &Args, summary: &Summary) -> ExitCode {
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
