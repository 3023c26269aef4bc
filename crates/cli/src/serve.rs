//! `violetseam serve`: one proxy in the foreground.

use clap::{Args as ClapArgs, ValueEnum};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry, reload};
use violetseam_operator_store::{OpenedStore, Store, StoreError};
use violetseam_proxy::driver::{Operators, Options, Reloaded, Reopened, SetLog, inherit, serve_operated};
use violetseam_recorder::RecordingLimits;
use violetseam_settings::{Identity, ProxySettings, read_file};
use violetseam_tls_config::KeyFiles;

#[derive(ClapArgs)]
pub struct Args {
    /// The settings script
    #[arg(long, required_unless_present = "platform")]
    settings: Option<PathBuf>,
    /// Serve on the platform's protocol, as the environment and PROXY_CONFIG tell; nothing else is opened
    #[arg(long, conflicts_with_all = ["settings", "set", "record", "time_module", "takeover", "stop_after"])]
    platform: bool,
    /// A value for the script's option(...): NAME=VALUE
    #[arg(long = "set", value_parser = pair)]
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

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, ValueEnum)]
enum SabotageName {
    DoubleSend,
    LateAnswer,
    IgnoreDrains,
    Spendthrift,
}

/// Reads `NAME=VALUE`.
pub fn pair(text: &str) -> Result<(String, String), String> {
    let (name, value) = text.split_once('=').ok_or("NAME=VALUE is wanted")?;
    Ok((name.to_owned(), value.to_owned()))
}

/// Runs a proxy until it is told to stop.
pub fn run(args: &Args) -> Result<ExitCode, String> {
    if args.platform {
        let _ = start_logs(args)?;
        return crate::platform::run();
    }
    let file = args.settings.as_ref().ok_or("--settings is wanted")?;
    let settings = read_file(file, &args.set).map_err(|e| e.to_string())?;
    let set_log = start_logs(args)?;
    let limits = RecordingLimits { max_total_bytes: args.record_most, ..RecordingLimits::default() };
    let options = Options {
        record: args.record.clone().map(|path| (path, limits)),
        time_module: args.time_module,
        stop_after: args.stop_after.map(Duration::from_secs),
        stop: None,
        #[cfg(feature = "sabotage")]
        sabotage: args.sabotage.map(|s| match s {
            SabotageName::DoubleSend => violetseam_proxy::driver::Sabotage::DoubleSend,
            SabotageName::LateAnswer => violetseam_proxy::driver::Sabotage::LateAnswer,
            SabotageName::IgnoreDrains => violetseam_proxy::driver::Sabotage::IgnoreDrains,
            SabotageName::Spendthrift => violetseam_proxy::driver::Sabotage::Spendthrift,
        }),
    };
    let name = format!("{}-{}", settings.name, settings.decisions.position);
    let inherited = match (args.takeover, &settings.control) {
        (false, _) => None,
        (true, Some(control)) => Some(inherit(control).map_err(|e| e.to_string())?),
        (true, None) => return Err("--takeover needs a control socket in the settings".into()),
    };
    let operators = operators(args, file, &settings, set_log)?;
    let summary = serve_operated(settings, options, operators, inherited, |addresses| {
        for addr in addresses {
            println!("{name} takes clients on {addr}");
        }
    })
    .map_err(|e| e.to_string())?;
    if args.time_module {
        println!(
            "module {:.3} s over {} requests",
            summary.module_time.as_secs_f64(),
            summary.counts.received
        );
    }
    if summary.left_in_flight > 0 || summary.left_open > 0 {
        eprintln!("left open: {} connections, {} requests", summary.left_open, summary.left_in_flight);
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

/// Starts the logs; what sets another filter later.
fn start_logs(args: &Args) -> Result<SetLog, String> {
    let filter = EnvFilter::try_new(&args.log).map_err(|e| format!("--log: {e}"))?;
    let (filter, handle) = reload::Layer::<EnvFilter, Registry>::new(filter);
    // A log that cannot be written is lost, and nothing else: with a full disk under it, the layer's own word on
    // that would go to the same place, and panic there.
    let lines = tracing_subscriber::fmt::layer()
        .log_internal_errors(false)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    let lines = match args.log_format {
        LogFormat::Text => lines.boxed(),
        LogFormat::Json => lines.json().boxed(),
    };
    tracing_subscriber::registry().with(filter).with(lines).init();
    Ok(Box::new(move |text| {
        let filter = EnvFilter::try_new(text).map_err(|e| format!("no log filter: {e}"))?;
        Ok(handle.reload(filter)?)
    }))
}

/// What makes the proxy a daemon, where its settings name a control socket.
fn operators(
    args: &Args,
    file: &Path,
    settings: &ProxySettings,
    set_log: SetLog,
) -> Result<Option<Operators>, String> {
    let (Some(socket), Some(folder)) = (settings.control.clone(), &settings.state_dir) else {
        return Ok(None);
    };
    let now = violetseam_fleet::wall_clock();
    let (folder, position) = (folder.clone(), settings.decisions.position);
    let tls_config = keys_of(settings)?;
    let opened = open_store(&folder, position, now, args.takeover)?;
    let (file, set) = (file.to_owned(), args.set.clone());
    let reload = move || {
        let settings = read_file(&file, &set).map_err(|e| e.to_string())?;
        let tls_config = keys_of(&settings)?;
        Ok(Reloaded { settings, tls_config })
    };
    Ok(Some(Operators {
        socket,
        tls_config,
        boot: opened.boot,
        state: opened.state,
        state_writer: Box::new(opened.store),
        reload: Box::new(reload),
        reopen: Box::new(move || {
            let opened = open_store(&folder, position, violetseam_fleet::wall_clock(), true)?;
            let state_writer = Box::new(opened.store);
            Ok(Reopened { boot: opened.boot, state: opened.state, state_writer })
        }),
        set_log,
    }))
}

/// The files that settings name.
pub fn key_files(identity: &Identity) -> KeyFiles {
    KeyFiles {
        cert: identity.cert.clone().into(),
        key: identity.key.clone().into(),
        trusted: identity.trusted.clone().into(),
        revoked: identity.revoked.clone().map(PathBuf::from),
    }
}

/// The keys for control over TCP, checked.
fn keys_of(settings: &ProxySettings) -> Result<Option<Arc<rustls::ServerConfig>>, String> {
    let Some((_, identity)) = &settings.control_tls else { return Ok(None) };
    let now_s = (violetseam_fleet::wall_clock() / 1_000_000) as i64;
    let loaded = violetseam_tls_config::server_tls(&key_files(identity), now_s)
        .map_err(|e| format!("control_tls: {e}"))?;
    if loaded.expires_at_s - now_s < violetseam_tls_config::EXPIRY_WARNING_S {
        tracing::warn!(cert = identity.cert, "the certificate for control over TCP ends in under two weeks");
    }
    Ok(Some(loaded.config))
}

/// Opens the store; in a takeover the other process gives it up at any moment, so it is waited for.
fn open_store(folder: &Path, position: usize, now: u64, wait: bool) -> Result<OpenedStore, String> {
    let until = Instant::now() + Duration::from_secs(2);
    loop {
        match Store::open(folder, position, now) {
            Err(StoreError::InUse { .. }) if wait && Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(2));
            }
            other => return other.map_err(|e| e.to_string()),
        }
    }
}
