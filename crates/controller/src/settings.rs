//! The controller's settings, which are one section of a Starlark script.

use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;
use violetseam_starlark_config::{
    Call, Located, ScriptDuration, ScriptError, evaluate_file, required_section,
};

/// The greatest length of a controller's name, in bytes.
const MAX_NAME_LEN: usize = 64;
/// The permitted duration of the lease, in microseconds.
const LEASE_MICROS: RangeInclusive<u64> = 100_000..=600_000_000;
/// The shortest permitted interval between heartbeats, in microseconds.
const MIN_HEARTBEAT_MICROS: u64 = 10_000;

violetseam_starlark_config::functions! { functions: controller }

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Section {
    name: String,
    listen: SocketAddr,
    build: u16,
    #[serde(rename = "control")]
    control_socket: String,
    #[serde(default = "default_lease")]
    lease: ScriptDuration,
    #[serde(default = "default_heartbeat", rename = "beat")]
    heartbeat: ScriptDuration,
}

fn default_lease() -> ScriptDuration {
    ScriptDuration::from_millis(2_000)
}

fn default_heartbeat() -> ScriptDuration {
    ScriptDuration::from_millis(1_000)
}

/// The settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The controller's name, as it appears in logs and in the lease.
    pub name: String,
    /// The address on which the controller listens for proxies and the platform.
    pub listen: SocketAddr,
    /// The build that runs in all places when the state is created. It is not used once there is a journal.
    pub build: u16,
    /// The path of the control socket.
    pub control_socket: PathBuf,
    /// A standby replaces a leader that has not renewed its lease for this long.
    pub lease: Duration,
    /// The interval at which a blank line is sent on a watch that has no changes.
    pub heartbeat: Duration,
}

/// Reads and checks a settings file.
///
/// # Errors
/// The script fails, it does not have exactly one `controller(...)` call, or a value is out of bounds.
pub fn read_file(path: &Path, options: &[(String, String)]) -> Result<Settings, ScriptError> {
    let calls = evaluate_file(path, options, functions)?;
    let sections: Result<Vec<Located<Section>>, ScriptError> = calls.into_iter().map(Call::read).collect();
    let sections = sections?;
    let located = required_section(&path.display().to_string(), "controller", &sections)?;
    let section = &located.value;
    if !is_valid_name(&section.name) {
        return located.reject(
            "controller: the name must have 1 to 64 bytes, without whitespace or control characters",
        );
    }
    if !LEASE_MICROS.contains(&section.lease.as_micros()) {
        return located.reject("controller: lease must be from 100ms to 10m");
    }
    if section.heartbeat.as_micros() < MIN_HEARTBEAT_MICROS {
        return located.reject("controller: beat must be at least 10ms");
    }
    Ok(Settings {
        name: section.name.clone(),
        listen: section.listen,
        build: section.build,
        control_socket: PathBuf::from(&section.control_socket),
        lease: Duration::from_micros(section.lease.as_micros()),
        heartbeat: Duration::from_micros(section.heartbeat.as_micros()),
    })
}

fn is_valid_name(name: &str) -> bool {
    let is_forbidden = |character: char| character.is_whitespace() || character.is_control();
    (1..=MAX_NAME_LEN).contains(&name.len()) && !name.chars().any(is_forbidden)
}
