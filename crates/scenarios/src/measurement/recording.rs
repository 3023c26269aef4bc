//! What the flight recorder costs: the proxy's throughput with and without it, in turn.

use super::echo_servers::EchoServers;
use super::load_generator::{LoadSettings, offer_load};
use super::proxy_process::ProxyProcess;
use super::{MeasurementError, MeasurementSettings, median};
use std::fmt;
use std::net::SocketAddr;

/// Servers behind the proxy.
const SERVERS: usize = 12;
/// Connections of the load.
const CONNECTIONS: usize = 64;
/// Deadline of the requests.
const DEADLINE: &str = "2s";

/// Requests a second with and without the recorder, medians of the rounds.
#[derive(Clone, Copy, Debug)]
pub struct RecordingCost {
    /// Without it.
    pub plain: f64,
    /// With it.
    pub recorded: f64,
    /// The median of the rounds' ratios, recorded to plain.
    pub ratio: f64,
}

impl fmt::Display for RecordingCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RecordingCost { plain, recorded, ratio } = self;
        writeln!(f, "plain {plain:.0}, recorded {recorded:.0} requests/s, median ratio {ratio:.3}")
    }
}

/// Measures what recording costs; `on_progress` gets a line for each round.
///
/// # Errors
/// [`MeasurementError`] says which process or measurement failed.
pub fn measure(
    settings: &MeasurementSettings,
    on_progress: &mut dyn FnMut(&str),
) -> Result<RecordingCost, MeasurementError> {
    settings.create_folder()?;
    let servers = EchoServers::start(SERVERS)?;
    let recording = with_recorder(settings);
    let mut plain = Vec::new();
    let mut recorded = Vec::new();
    let mut ratios = Vec::new();
    for round in 1..=settings.rounds {
        let plain_rate = throughput(settings, &servers.addresses)?;
        let recorded_rate = throughput(&recording, &servers.addresses)?;
        plain.push(plain_rate);
        recorded.push(recorded_rate);
        ratios.push(recorded_rate / plain_rate);
        on_progress(&format!("round {round}: {plain_rate:.0} and, recorded, {recorded_rate:.0} requests/s"));
    }
    Ok(RecordingCost { plain: median(&plain), recorded: median(&recorded), ratio: median(&ratios) })
}

fn with_recorder(settings: &MeasurementSettings) -> MeasurementSettings {
    let mut recording = settings.clone();
    let file = settings.out.join("flight").display().to_string();
    recording.extra_args.extend(["--record".to_owned(), file]);
    recording
}

/// Requests a second of a proxy that is started for this.
fn throughput(settings: &MeasurementSettings, servers: &[SocketAddr]) -> Result<f64, MeasurementError> {
    let proxy = ProxyProcess::start(settings, "recording", servers, DEADLINE)?;
    let load =
        LoadSettings { address: proxy.address, connections: CONNECTIONS, span: settings.span, pace: None };
    let result = offer_load(&load)?;
    proxy.end();
    Ok(result.per_second)
}
