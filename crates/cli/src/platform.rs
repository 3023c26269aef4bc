//! `violetseam serve --platform`: one proxy on the platform's protocol, as its environment tells.

use std::path::PathBuf;
use std::process::ExitCode;

/// Runs until SIGTERM, and then what is owed.
pub fn run() -> Result<ExitCode, String> {
    let variable =
        |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty()).ok_or(format!("{name} is not set"));
    let (name, listen) = (variable("PROXY_NAME")?, variable("PROXY_LISTEN")?);
    let discovery = variable("PROXY_DISCOVERY")?;
    let file = PathBuf::from(variable("PROXY_CONFIG")?);
    let address = |name: &str, text: &str| text.parse().map_err(|e| format!("{name}: {text:?}: {e}"));
    let mut config = violetseam_platform_proxy::read_config(&file).map_err(|e| e.to_string())?;
    config.name = name;
    config.listen = address("PROXY_LISTEN", &listen)?;
    config.discovery = address("PROXY_DISCOVERY", &discovery)?;
    let summary = violetseam_platform_proxy::serve(config, file).map_err(|e| e.to_string())?;
    if summary.unanswered_requests > 0 {
        eprintln!("violetseam: ended with {} requests unanswered", summary.unanswered_requests);
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}
