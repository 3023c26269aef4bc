//! Measures the cost of the flight recorder: the throughput of the proxy without and with it, alternately.

use super::echo_servers::EchoServers;
use super::load_generator::{LoadSettings, offer_load};
use super::proxy_process::ProxyProcess;
use super::{MeasurementError, MeasurementSettings, median};
use std::fmt;
use std::net::SocketAddr;

/// Number of servers behind the proxy.
const SERVERS: usize = 12;
/// Number of connections of the load.
const CONNECTIONS: usize = 64;
/// Deadline of the requests.
const DEADLINE: &str = "2s";

/// Requests per second with and without the recorder, as medians over the rounds.
#[derive(Clone, Copy, Debug)]
pub struct RecordingCost {
    /// Without the recorder.
    pub plain: f64,
    /// With the recorder.
    pub recorded: f64,
    /// The median of the ratio of `recorded` to `plain` in each round.
    pub ratio: f64,
}

impl fmt::Display for RecordingCost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RecordingCost { plain, recorded, ratio } = self;
        writeln!(f, "plain {plain:.0}, recorded {recorded:.0} requests/s, median ratio {ratio:.3}")
    }
}

/// Measures the cost of recording; `on_progress` is called with a line for each round.
///
/// # Errors
/// Returns [`MeasurementError`] if a process or the load generator fails.
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

/// Starts a proxy, measures its requests per second and stops it.
fn throughput(settings: &MeasurementSettings, servers: &[SocketAddr]) -> Result<f64, MeasurementError> {
    let proxy = ProxyProcess::start(settings, "recording", servers, DEADLINE)?;
    let load =
        LoadSettings { address: proxy.address, connections: CONNECTIONS, span: settings.span, pace: None };
    let result = offer_load(&load)?;
    proxy.end();
    Ok(result.per_second)
}
