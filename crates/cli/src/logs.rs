//! Set-up of the log, which is written to standard error.

use clap::ValueEnum;
use tracing_subscriber::filter::ParseError;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, Registry, reload};
use violetseam_proxy::driver::SetLog;

// The variants have no doc comments because clap would add them to the help text.
#[derive(Clone, Copy, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

/// A log filter is malformed.
#[derive(Debug, thiserror::Error)]
pub enum LogFilterError {
    /// The argument of `--log`.
    #[error("--log: {0}")]
    Argument(#[source] ParseError),
    /// The filter in an operator's command.
    #[error("no log filter: {0}")]
    Command(#[source] ParseError),
}

/// Starts the log of a process with a filter that cannot be changed later.
pub fn start(filter: &str) -> Result<(), LogFilterError> {
    let filter = EnvFilter::try_new(filter).map_err(LogFilterError::Argument)?;
    // A full disk under the log must not end the process; see `start_changeable`.
    tracing_subscriber::fmt()
        .log_internal_errors(false)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    Ok(())
}

/// Starts the log of a daemon whose filter operators may change, and returns the function that changes the
/// filter.
pub fn start_changeable(filter: &str, format: LogFormat) -> Result<SetLog, LogFilterError> {
    let filter = EnvFilter::try_new(filter).map_err(LogFilterError::Argument)?;
    let (filter, handle) = reload::Layer::<EnvFilter, Registry>::new(filter);
    // A log line that cannot be written is dropped. By default, the layer would report the failed write to
    // standard error, too; on a full disk that write would also fail, and panic.
    let format_layer = tracing_subscriber::fmt::layer()
        .log_internal_errors(false)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    let format_layer = match format {
        LogFormat::Text => format_layer.boxed(),
        LogFormat::Json => format_layer.json().boxed(),
    };
    tracing_subscriber::registry().with(filter).with(format_layer).init();
    Ok(Box::new(move |new_filter| {
        let filter = EnvFilter::try_new(new_filter).map_err(LogFilterError::Command)?;
        Ok(handle.reload(filter)?)
    }))
}
