//! `violetseam serve --platform`: one proxy that speaks the platform's protocol and is configured by
//! environment variables.

use anyhow::{Context, anyhow};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs the proxy until SIGTERM, and then until the requests that it has accepted are answered.
pub fn run() -> anyhow::Result<ExitCode> {
    let name = required_variable("PROXY_NAME")?;
    let listen = required_variable("PROXY_LISTEN")?;
    let discovery = required_variable("PROXY_DISCOVERY")?;
    let file = PathBuf::from(required_variable("PROXY_CONFIG")?);
    let mut config = violetseam_platform_proxy::read_config(&file)?;
    config.name = name;
    config.listen = parse_address("PROXY_LISTEN", &listen)?;
    config.discovery = parse_address("PROXY_DISCOVERY", &discovery)?;
    let summary = violetseam_platform_proxy::serve(config, file)?;
    if summary.unanswered_requests > 0 {
        eprintln!("violetseam: the proxy ended with {} requests unanswered", summary.unanswered_requests);
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

/// Reads an environment variable, which must not be empty.
fn required_variable(name: &str) -> anyhow::Result<String> {
    let value = std::env::var(name).ok().filter(|value| !value.is_empty());
    value.ok_or_else(|| anyhow!("{name} is not set"))
}

fn parse_address(variable: &str, text: &str) -> anyhow::Result<SocketAddr> {
    text.parse().with_context(|| format!("{variable} is not a socket address: {text:?}"))
}
