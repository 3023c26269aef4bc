//! Log lines of the daemons that have one filter for their whole life.

use tracing_subscriber::EnvFilter;

/// Writes log lines that pass the filter to standard error. A filter that cannot be read is an error that names `--log`.
pub fn start(filter: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(filter).map_err(|e| format!("--log: {e}"))?;
    // As for `serve`: a log on a full disk must not end the process.
    tracing_subscriber::fmt()
        .log_internal_errors(false)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    Ok(())
}
