//! Measures how much a flood of control connections and a takeover add to response times, compared with
//! undisturbed spans of the same run.
//!
//! Clients send requests at a fixed rate, each on a connection of its own, and the response time counts from
//! the time at which the request was due. Like any client, they reconnect if the proxy closes a connection
//! between two requests. A request is lost if it gets no response on a second connection either.

mod client;
mod totals;

use super::echo_servers::EchoServers;
use super::proxy_process::ProxyProcess;
use super::{MeasurementError, MeasurementSettings, stub_site};
use client::{ClientFigures, run_client};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use totals::Totals;

/// Number of clients that send requests.
const CLIENTS: usize = 32;
/// Number of servers behind the proxy.
const SERVERS: usize = 12;
/// Maximum number of control connections that a flood keeps open.
const MAX_FLOOD_CONNECTIONS: usize = 1_000;
/// Messages that the control connections send in turn: half a line, an invalid request, two
/// requests, nothing.
const FLOOD_MESSAGES: [&[u8]; 4] = [b"{\"state\"", b"nonsense\n", b"\"state\"\n\"state\"\n", b""];
/// Duration of the measured span of a takeover, independent of the settings: a takeover affects only the
/// requests around it.
const TAKEOVER_SPAN: Duration = Duration::from_secs(1);

/// The disturbance to which the proxy is exposed while requests are sent.
#[derive(Clone, Copy)]
enum Disturbance {
    None,
    ControlFlood,
    Takeover,
    /// The transition between two spans. The response times of requests that are due then are not reported.
    Changing,
}

/// The disturbances for which response times are reported.
const MEASURED: [Disturbance; 3] = [Disturbance::None, Disturbance::ControlFlood, Disturbance::Takeover];
/// Number of variants of [`Disturbance`].
const DISTURBANCES: usize = MEASURED.len() + 1;

impl Disturbance {
    fn name(self) -> &'static str {
        match self {
            Disturbance::None => "quiet",
            Disturbance::ControlFlood => "1,000 control connections",
            Disturbance::Takeover => "takeover",
            Disturbance::Changing => "between spans",
        }
    }
}

/// Measures all disturbances and returns a text with a table of medians; `on_progress` is called with lines
/// for each round.
///
/// # Errors
/// Returns [`MeasurementError`] if a process, a connection or a histogram fails.
pub fn measure(
    settings: &MeasurementSettings,
    on_progress: &mut dyn FnMut(&str),
) -> Result<String, MeasurementError> {
    settings.create_folder()?;
    let mut experiment = Experiment::start(settings)?;
    let mut totals = Totals::new();
    for round in 1..=settings.rounds {
        let client_figures = experiment.run_round()?;
        totals.add_round(round, &client_figures, on_progress)?;
    }
    Ok(totals.text(experiment.control_connections))
}

/// The state that the clients of a round read.
struct RoundState {
    /// The [`Disturbance`] of the current span, as its number.
    disturbance: AtomicUsize,
    stop: AtomicBool,
}

impl RoundState {
    fn set(&self, disturbance: Disturbance) {
        self.disturbance.store(disturbance as usize, Ordering::Relaxed);
    }
}

/// The measured proxy and the files with which it is disturbed. The control socket is removed on drop.
struct Experiment<'a> {
    settings: &'a MeasurementSettings,
    script: PathBuf,
    control: PathBuf,
    proxy: ProxyProcess,
    control_connections: usize,
}

impl<'a> Experiment<'a> {
    fn start(settings: &'a MeasurementSettings) -> Result<Experiment<'a>, MeasurementError> {
        let servers = EchoServers::start(SERVERS)?;
        let site = stub_site::start(&servers.addresses)?;
        // The control socket is not in the output folder because socket paths are limited to about 100 bytes.
        let control = std::env::temp_dir().join(format!("vs-q{}", std::process::id()));
        let state = settings.out.join("state");
        let options = format!("state_dir = \"{}\", control = \"{}\"", state.display(), control.display());
        let script = settings.write_script("disturbed", &stub_site::proxy_script(site, &options, "2s"))?;
        let proxy = ProxyProcess::spawn(&settings.program, &script, &[])?;
        Ok(Experiment { settings, script, control, proxy, control_connections: 0 })
    }

    /// Runs one round under constant load: an undisturbed span, a flood and a takeover.
    fn run_round(&mut self) -> Result<Vec<ClientFigures>, MeasurementError> {
        let state = RoundState {
            disturbance: AtomicUsize::new(Disturbance::Changing as usize),
            stop: AtomicBool::new(false),
        };
        let address = self.proxy.address;
        let interval = Duration::from_secs_f64(CLIENTS as f64 / self.settings.pace);
        std::thread::scope(|scope| {
            let state = &state;
            let spawn_client = |index: usize| {
                let offset = interval.mul_f64(index as f64 / CLIENTS as f64);
                scope.spawn(move || run_client(address, offset, interval, state))
            };
            let clients: Vec<_> = (0..CLIENTS).map(spawn_client).collect();
            std::thread::sleep(self.settings.span / 4);
            let disturbed = self.disturb(state);
            state.stop.store(true, Ordering::Relaxed);
            let figures: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
            disturbed?;
            figures.into_iter().collect()
        })
    }

    fn disturb(&mut self, state: &RoundState) -> Result<(), MeasurementError> {
        state.set(Disturbance::None);
        std::thread::sleep(self.settings.span);
        state.set(Disturbance::ControlFlood);
        self.control_connections += flood_control(&self.control, self.settings.span);
        state.set(Disturbance::Changing);
        std::thread::sleep(self.settings.span / 4);
        state.set(Disturbance::Takeover);
        let started = Instant::now();
        self.take_over()?;
        std::thread::sleep(TAKEOVER_SPAN.saturating_sub(started.elapsed()));
        state.set(Disturbance::Changing);
        Ok(())
    }

    fn take_over(&mut self) -> Result<(), MeasurementError> {
        let args = ["--takeover".to_owned()];
        let successor = ProxyProcess::spawn(&self.settings.program, &self.script, &args)?;
        let ended_cleanly = self.proxy.wait()?;
        self.proxy = successor;
        if ended_cleanly { Ok(()) } else { Err(MeasurementError::UncleanTakeover) }
    }
}

impl Drop for Experiment<'_> {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.control);
    }
}

/// Opens control connections repeatedly for one span and returns how many it opened.
fn flood_control(control: &Path, span: Duration) -> usize {
    let end = Instant::now() + span;
    let mut open = Vec::new();
    let mut opened = 0;
    while Instant::now() < end {
        if open.len() >= MAX_FLOOD_CONNECTIONS {
            open.clear();
        }
        if let Ok(mut stream) = UnixStream::connect(control) {
            let _ = stream.write_all(FLOOD_MESSAGES[opened % FLOOD_MESSAGES.len()]);
            open.push(stream);
            opened += 1;
        }
    }
    opened
}
