//! A controller's settings: one section of a Starlark script.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use violetseam_script::{Call, Placed, ScriptError, Span, evaluate_file, needed};

violetseam_script::functions! { functions: controller }

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Section {
    name: String,
    listen: SocketAddr,
    build: u16,
    control: String,
    #[serde(default = "two_seconds")]
    lease: Span,
    #[serde(default = "one_second")]
    beat: Span,
}

fn two_seconds() -> Span {
    Span::ms(2_000)
}
fn one_second() -> Span {
    Span::ms(1_000)
}

/// What a controller runs by.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name, in logs and in the lease.
    pub name: String,
    /// Where proxies and the platform find it.
    pub listen: SocketAddr,
    /// The build that runs everywhere when its state begins; later the state knows.
    pub build: u16,
    /// The path of its control socket.
    pub control: PathBuf,
    /// A controller that gives no sign of life for so long is replaced by one that stands by.
    pub lease: Duration,
    /// Watches that have nothing to tell get a blank line this often.
    pub beat: Duration,
}

/// Reads and checks a settings file.
pub fn read_file(path: &Path, options: &[(String, String)]) -> Result<Settings, ScriptError> {
    let calls = evaluate_file(path, options, functions)?;
    let sections: Result<Vec<Placed<Section>>, ScriptError> = calls.into_iter().map(Call::read).collect();
    let sections = sections?;
    let placed = needed(&path.display().to_string(), "controller", &sections)?;
    let s = &placed.is;
    if s.name.is_empty() || s.name.len() > 64 || s.name.chars().any(|c| c.is_whitespace() || c.is_control()) {
        return placed.fault("controller: a name has 1 to 64 characters without spaces");
    }
    if s.lease.0 < 100_000 || s.lease.0 > 600_000_000 {
        return placed.fault("controller: a lease is 100ms to 10m");
    }
    if s.beat.0 < 10_000 {
        return placed.fault("controller: a beat is at least 10ms");
    }
    Ok(Settings {
        name: s.name.clone(),
        listen: s.listen,
        build: s.build,
        control: PathBuf::from(&s.control),
        lease: Duration::from_micros(s.lease.0),
        beat: Duration::from_micros(s.beat.0),
    })
}
