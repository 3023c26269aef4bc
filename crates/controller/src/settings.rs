//! A controller's settings: one section of a Starlark script.

use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;
use violetseam_starlark_config::{
    Call, Located, ScriptDuration, ScriptError, evaluate_file, required_section,
};

/// The longest name, in bytes.
const MAX_NAME_LEN: usize = 64;
/// The bounds of a lease.
const LEASE_MICROS: RangeInclusive<u64> = 100_000..=600_000_000;
/// The shortest interval of heartbeats.
const MIN_HEARTBEAT_MICROS: u64 = 10_000;

violetseam_starlark_config::functions! { functions: controller }

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Section {
    name: String,
    listen: SocketAddr,
    build: u16,
    control: String,
    #[serde(default = "default_lease")]
    lease: ScriptDuration,
    #[serde(default = "default_heartbeat")]
    beat: ScriptDuration,
}

fn default_lease() -> ScriptDuration {
    ScriptDuration::from_millis(2_000)
}

fn default_heartbeat() -> ScriptDuration {
    ScriptDuration::from_millis(1_000)
}

/// A controller's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name, in logs and in the lease.
    pub name: String,
    /// The address for proxies and the platform.
    pub listen: SocketAddr,
    /// The build that runs everywhere when the state is created; later the state knows it.
    pub build: u16,
    /// The path of the control socket.
    pub control: PathBuf,
    /// A leader that has not renewed its lease for so long is replaced by a standby.
    pub lease: Duration,
    /// A watch without changes gets a blank line this often.
    pub heartbeat: Duration,
}

/// Reads and checks a settings file.
///
/// # Errors
/// The script fails, has no `controller(...)` call or more than one, or a value is out of bounds.
pub fn read_file(path: &Path, options: &[(String, String)]) -> Result<Settings, ScriptError> {
    let calls = evaluate_file(path, options, functions)?;
    let sections: Result<Vec<Located<Section>>, ScriptError> = calls.into_iter().map(Call::read).collect();
    let sections = sections?;
    let located = required_section(&path.display().to_string(), "controller", &sections)?;
    let section = &located.value;
    if !is_valid_name(&section.name) {
        return located.reject("controller: a name has 1 to 64 characters without spaces");
    }
    if !LEASE_MICROS.contains(&section.lease.as_micros()) {
        return located.reject("controller: a lease is 100ms to 10m");
    }
    if section.beat.as_micros() < MIN_HEARTBEAT_MICROS {
        return located.reject("controller: a beat is at least 10ms");
    }
    Ok(Settings {
        name: section.name.clone(),
        listen: section.listen,
        build: section.build,
        control: PathBuf::from(&section.control),
        lease: Duration::from_micros(section.lease.as_micros()),
        heartbeat: Duration::from_micros(section.beat.as_micros()),
    })
}

fn is_valid_name(name: &str) -> bool {
    let is_separator = |character: char| character.is_whitespace() || character.is_control();
    (1..=MAX_NAME_LEN).contains(&name.len()) && !name.chars().any(is_separator)
}
