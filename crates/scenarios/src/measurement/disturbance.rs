//! What a flood of control connections and a takeover add to the times of requests, beside idle spans of the
//! same run.
//!
//! Clients send at a fixed rate, each on a connection of its own, and a request counts from the moment it
//! was due. A connection that the proxy closes between two requests is opened again, as any client does; a
//! request is lost if a second connection does not answer it either.

use super::echo_servers::{EchoServers, HEAD_END};
use super::load_generator::{quantile_ms, response_times};
use super::proxy_process::ProxyProcess;
use super::{MeasurementError, MeasurementSettings, REQUEST, median, stub_site};
use hdrhistogram::Histogram;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Clients that send requests.
const CLIENTS: usize = 32;
/// Servers behind the proxy.
const SERVERS: usize = 12;
/// Control connections that a flood keeps open at most.
const MAX_FLOOD_CONNECTIONS: usize = 1_000;
/// What control connections send, in turn: half a line, nonsense, two questions, nothing.
const FLOOD_MESSAGES: [&[u8]; 4] = [b"{\"state\"", b"nonsense\n", b"\"state\"\n\"state\"\n", b""];
/// How long a client waits for bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The span that counts for a takeover, whatever the settings: what it adds, it adds at once.
const TAKEOVER_SPAN: Duration = Duration::from_secs(1);

/// What happens beside the requests.
#[derive(Clone, Copy)]
enum Disturbance {
    None,
    ControlFlood,
    Takeover,
    /// One span gives way to another: requests that are due then have no figures.
    Changing,
}

/// The disturbances that have figures.
const MEASURED: [Disturbance; 3] = [Disturbance::None, Disturbance::ControlFlood, Disturbance::Takeover];
/// All values of [`Disturbance`].
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

/// Measures; a text with a table of medians. `on_progress` gets lines for each round.
///
/// # Errors
/// [`MeasurementError`] says which process or measurement failed.
pub fn measure(
    settings: &MeasurementSettings,
    on_progress: &mut dyn FnMut(&str),
) -> Result<String, MeasurementError> {
    settings.create_folder()?;
    let mut experiment = Experiment::start(settings)?;
    let mut totals = Totals::new();
    for round in 1..=settings.rounds {
        let round_figures = experiment.run_round()?;
        totals.add_round(round, &round_figures, on_progress)?;
    }
    Ok(totals.text(experiment.control_connections))
}

/// What the clients of a round are told.
struct RoundState {
    /// The [`Disturbance`] of the present span.
    disturbance: AtomicUsize,
    stop: AtomicBool,
}

impl RoundState {
    fn set(&self, disturbance: Disturbance) {
        self.disturbance.store(disturbance as usize, Ordering::Relaxed);
    }
}

/// The proxy and what disturbs it; its control socket is removed when this is dropped.
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
        // Paths of sockets are limited to about 100 bytes, so it is not in the output folder.
        let control = std::env::temp_dir().join(format!("vs-q{}", std::process::id()));
        let state = settings.out.join("state");
        let options = format!("state_dir = \"{}\", control = \"{}\"", state.display(), control.display());
        let script = settings.write_script("disturbed", &stub_site::proxy_script(site, &options, "2s"))?;
        let proxy = ProxyProcess::spawn(&settings.program, &script, &[])?;
        Ok(Experiment { settings, script, control, proxy, control_connections: 0 })
    }

    /// One round: an idle span, a flood and a takeover, under the same load.
    fn run_round(&mut self) -> Result<Vec<ClientFigures>, MeasurementError> {
        let state = RoundState {
            disturbance: AtomicUsize::new(Disturbance::Changing as usize),
            stop: AtomicBool::new(false),
        };
        let address = self.proxy.address;
        let interval = Duration::from_secs_f64(CLIENTS as f64 / self.settings.pace);
        std::thread::scope(|scope| {
            let state = &state;
            let spawn = |index: usize| {
                let offset = interval.mul_f64(index as f64 / CLIENTS as f64);
                scope.spawn(move || run_client(address, offset, interval, state))
            };
            let clients: Vec<_> = (0..CLIENTS).map(spawn).collect();
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

/// Connects over and over for one span; how many connections it made.
fn flood_control(control: &Path, span: Duration) -> usize {
    let end = Instant::now() + span;
    let mut open = Vec::new();
    let mut made = 0;
    while Instant::now() < end {
        if open.len() >= MAX_FLOOD_CONNECTIONS {
            open.clear();
        }
        if let Ok(mut stream) = UnixStream::connect(control) {
            let _ = stream.write_all(FLOOD_MESSAGES[made % FLOOD_MESSAGES.len()]);
            open.push(stream);
            made += 1;
        }
    }
    made
}

/// What one client saw, by [`Disturbance`].
struct ClientFigures {
    /// Response times in microseconds.
    times: Vec<Histogram<u64>>,
    rejected: [u64; DISTURBANCES],
    lost: u64,
}

/// Sends requests at a fixed interval until the round ends. A request belongs to the span in which it was
/// due.
fn run_client(
    address: SocketAddr,
    offset: Duration,
    interval: Duration,
    state: &RoundState,
) -> Result<ClientFigures, MeasurementError> {
    let times = (0..DISTURBANCES).map(|_| response_times()).collect::<Result<_, _>>()?;
    let mut figures = ClientFigures { times, rejected: [0; DISTURBANCES], lost: 0 };
    let mut client = Client { address, idle: None };
    let mut due = Instant::now() + offset;
    while !state.stop.load(Ordering::Relaxed) {
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        let disturbance = state.disturbance.load(Ordering::Relaxed);
        match client.request().or_else(|_| client.request()) {
            Ok(200) => {}
            Ok(_) => figures.rejected[disturbance] += 1,
            Err(_) => figures.lost += 1,
        }
        let micros = due.elapsed().as_micros() as u64;
        figures.times[disturbance].saturating_record(micros.max(1));
        due += interval;
    }
    Ok(figures)
}

/// A client with one connection at most.
struct Client {
    address: SocketAddr,
    /// The connection of the last response, if it stayed open.
    idle: Option<TcpStream>,
}

impl Client {
    /// Sends a request and waits for its response; its status.
    fn request(&mut self) -> std::io::Result<u16> {
        let mut stream = match self.idle.take() {
            Some(stream) => stream,
            None => self.connect()?,
        };
        stream.write_all(REQUEST)?;
        let response = read_response(&mut stream)?;
        if !response.closes {
            self.idle = Some(stream);
        }
        Ok(response.status)
    }

    fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(stream)
    }
}

/// A complete response.
struct Response {
    status: u16,
    /// Whether the proxy closes the connection after it.
    closes: bool,
}

fn read_response(stream: &mut TcpStream) -> std::io::Result<Response> {
    let mut received = Vec::new();
    let mut bytes = [0; 1024];
    loop {
        match stream.read(&mut bytes)? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            count => received.extend_from_slice(&bytes[..count]),
        }
        if let Some(response) = parse_response(&received) {
            return Ok(response);
        }
    }
}

/// The response, if all of it has been received.
fn parse_response(received: &[u8]) -> Option<Response> {
    let start_of_end = received.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END)?;
    let head_length = start_of_end + HEAD_END.len();
    let head = String::from_utf8_lossy(&received[..head_length]).to_ascii_lowercase();
    let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let body_length: usize = field("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok())?;
    let closes = field("connection:") == Some("close");
    (received.len() >= head_length + body_length).then_some(Response { status, closes })
}

/// Response times of one round and disturbance, in milliseconds.
struct RoundTimes {
    p50: f64,
    p99: f64,
    max: f64,
}

/// The figures of all rounds.
struct Totals {
    /// By disturbance, then by round.
    times: [Vec<RoundTimes>; MEASURED.len()],
    rejected: [u64; DISTURBANCES],
    requests: u64,
    lost: u64,
}

impl Totals {
    fn new() -> Totals {
        Totals {
            times: std::array::from_fn(|_| Vec::new()),
            rejected: [0; DISTURBANCES],
            requests: 0,
            lost: 0,
        }
    }

    fn add_round(
        &mut self,
        round: usize,
        clients: &[ClientFigures],
        on_progress: &mut dyn FnMut(&str),
    ) -> Result<(), MeasurementError> {
        for disturbance in MEASURED {
            let mut all = response_times()?;
            for client in clients {
                all.add(&client.times[disturbance as usize])?;
            }
            self.requests += all.len();
            let times = RoundTimes {
                p50: quantile_ms(&all, 0.5),
                p99: quantile_ms(&all, 0.99),
                max: all.max() as f64 / 1e3,
            };
            on_progress(&format!(
                "round {round}: {}: p50 {:.3} p99 {:.3} ms",
                disturbance.name(),
                times.p50,
                times.p99
            ));
            self.times[disturbance as usize].push(times);
        }
        for client in clients {
            self.lost += client.lost;
            for (total, rejected) in self.rejected.iter_mut().zip(client.rejected) {
                *total += rejected;
            }
        }
        Ok(())
    }

    fn text(&self, control_connections: usize) -> String {
        let mut text = String::from(
            "| ms, medians | p50 | p99 | worst | refused, all rounds |\n| --- | --- | --- | --- | --- |\n",
        );
        for disturbance in MEASURED {
            let rounds = &self.times[disturbance as usize];
            let median_of = |value: fn(&RoundTimes) -> f64| {
                let values: Vec<f64> = rounds.iter().map(value).collect();
                median(&values)
            };
            let _ = writeln!(
                text,
                "| {} | {:.3} | {:.3} | {:.3} | {} |",
                disturbance.name(),
                median_of(|times| times.p50),
                median_of(|times| times.p99),
                median_of(|times| times.max),
                self.rejected[disturbance as usize]
            );
        }
        let _ = writeln!(
            text,
            "\n{} requests, {} lost, \
             {} refused between spans; {control_connections} control connections made",
            self.requests,
            self.lost,
            self.rejected[Disturbance::Changing as usize]
        );
        text
    }
}
