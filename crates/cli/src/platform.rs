//! `violetseam serve --platform`: one proxy on the platform's protocol, as its environment tells.

use anyhow::{Context, anyhow};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs until SIGTERM, and until the requests that it took then are answered.
pub fn run() -> anyhow::Result<ExitCode> {
    let name = variable("PROXY_NAME")?;
    let listen = variable("PROXY_LISTEN")?;
    let discovery = variable("PROXY_DISCOVERY")?;
    let file = PathBuf::from(variable("PROXY_CONFIG")?);
    let mut config = violetseam_platform_proxy::read_config(&file)?;
    config.name = name;
    config.listen = address("PROXY_LISTEN", &listen)?;
    config.discovery = address("PROXY_DISCOVERY", &discovery)?;
    let summary = violetseam_platform_proxy::serve(config, file)?;
    if summary.unanswered_requests > 0 {
        eprintln!("violetseam: ended with {} requests unanswered", summary.unanswered_requests);
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}

/// An environment variable, which must not be empty.
fn variable(name: &str) -> anyhow::Result<String> {
    let value = std::env::var(name).ok().filter(|value| !value.is_empty());
    value.ok_or_else(|| anyhow!("{name} is not set"))
}

fn address(variable: &str, text: &str) -> anyhow::Result<SocketAddr> {
    text.parse().with_context(|| format!("{variable}: {text:?}"))
}
