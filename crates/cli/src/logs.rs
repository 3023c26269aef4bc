//! Log lines, to standard error.

use clap::ValueEnum;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, Registry, reload};
use violetseam_proxy::driver::SetLog;

// Doc comments here would appear in the help text.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

/// A log filter cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum LogFilterError {
    /// That of the command line.
    #[error("--log: {0}")]
    Argument(#[source] ParseError),
    /// One that an operator sent.
    #[error("no log filter: {0}")]
    Command(#[source] ParseError),
}

/// Starts the logs of a daemon that has one filter for its whole life.
pub fn start(filter: &str) -> Result<(), LogFilterError> {
    let filter = EnvFilter::try_new(filter).map_err(LogFilterError::Argument)?;
    // As for `start_changeable`: a log on a full disk must not end the process.
    tracing_subscriber::fmt()
        .log_internal_errors(false)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    Ok(())
}

/// Starts the logs of a daemon whose filter operators may change, and returns what changes it.
pub fn start_changeable(filter: &str, format: LogFormat) -> Result<SetLog, LogFilterError> {
    let filter = EnvFilter::try_new(filter).map_err(LogFilterError::Argument)?;
    let (filter, handle) = reload::Layer::<EnvFilter, Registry>::new(filter);
    // A log that cannot be written is lost, and nothing else: with a full disk under it, the layer's own
    // message about that would go to the same place, and panic there.
    let lines = tracing_subscriber::fmt::layer()
        .log_internal_errors(false)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    let lines = match format {
        LogFormat::Text => lines.boxed(),
        LogFormat::Json => lines.json().boxed(),
    };
    tracing_subscriber::registry().with(filter).with(lines).init();
    Ok(Box::new(move |text| {
        let filter = EnvFilter::try_new(text).map_err(LogFilterError::Command)?;
        Ok(handle.reload(filter)?)
    }))
}
