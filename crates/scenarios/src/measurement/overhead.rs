//! Measures the overhead of the proxy: in one run, the same load is sent to a server directly and through the
//! proxy.
//!
//! The client side and the servers have one thread each. The proxy is a process of its own and gets a core of
//! its own if one is free.

use super::echo_servers::EchoServers;
use super::load_generator::{LoadSettings, offer_load};
use super::proxy_process::ProxyProcess;
use super::{MeasurementError, MeasurementSettings, REQUEST, median};
use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write as _;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Number of connections of the unpaced load.
const UNPACED_CONNECTIONS: usize = 64;
/// Numbers of connections of the paced loads, which run one after another.
const PACED_CONNECTIONS: [usize; 2] = [16, 256];
/// Total duration of a load as a multiple of its counted span: the warm-up adds a tenth.
const TOTAL_TO_COUNTED_SPAN: f64 = 1.1;
/// Deadline of requests while throughput and response times are measured.
const DEADLINE: &str = "2s";
/// Number of connections whose memory use is measured.
const MEMORY_CONNECTIONS: usize = 5_000;
/// Number of servers behind the proxy while memory is measured.
const MEMORY_SERVERS: usize = 12;
/// Deadline of the requests that the servers leave unanswered while memory is measured.
const MEMORY_DEADLINE: &str = "20s";
/// Delay in which the proxy accepts all connections.
const ACCEPT_SPAN: Duration = Duration::from_millis(500);
/// Delay in which the proxy forwards all requests.
const FORWARD_SPAN: Duration = Duration::from_millis(1_500);

/// One column of the table: requests are sent directly, or through a proxy in front of `servers` servers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Route {
    Direct,
    Proxied { servers: usize },
}

const ROUTES: [Route; 3] = [Route::Direct, Route::Proxied { servers: 12 }, Route::Proxied { servers: 76 }];
/// Number of servers to start: as many as the route with the most servers needs.
const MAX_SERVERS: usize = 76;

impl fmt::Display for Route {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Route::Direct => f.write_str("direct"),
            Route::Proxied { servers } => write!(f, "{servers} servers"),
        }
    }
}

/// One row of the table; the variants are in the order of the rows.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Metric {
    Throughput,
    CpuPerRequest,
    CoresUsed,
    PacedTime { connections: usize, percentile: u8 },
    Broken,
    ModuleCpuPerRequest,
}

impl fmt::Display for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Metric::Throughput => write!(f, "requests/s, {UNPACED_CONNECTIONS} connections"),
            Metric::CpuPerRequest => f.write_str("processor us a request, all"),
            Metric::CoresUsed => f.write_str("cores used"),
            Metric::PacedTime { connections, percentile } => {
                write!(f, "p{percentile} ms, {connections} paced")
            }
            Metric::Broken => f.write_str("broken"),
            Metric::ModuleCpuPerRequest => f.write_str("processor us a request, module"),
        }
    }
}

/// The measured values of all rounds.
#[derive(Default)]
struct Figures(BTreeMap<(Metric, Route), Vec<f64>>);

impl Figures {
    fn add(&mut self, route: Route, metric: Metric, value: f64) {
        self.0.entry((metric, route)).or_default().push(value);
    }

    fn table(&self) -> String {
        let mut table =
            String::from("| median | direct | 12 servers | 76 servers |\n| --- | --- | --- | --- |\n");
        let mut metrics: Vec<Metric> = self.0.keys().map(|(metric, _)| *metric).collect();
        metrics.dedup();
        for metric in metrics {
            let cells: Vec<String> = ROUTES.iter().map(|route| self.cell(metric, *route)).collect();
            let _ = writeln!(table, "| {metric} | {} |", cells.join(" | "));
        }
        table
    }

    fn cell(&self, metric: Metric, route: Route) -> String {
        match self.0.get(&(metric, route)) {
            Some(values) => format!("{:.3}", median(values)),
            None => "-".to_owned(),
        }
    }
}

/// Measures the proxy against direct connections and returns a table of medians; `on_progress` is called with
/// a line for each round.
///
/// # Errors
/// Returns [`MeasurementError`] if a process, a connection or the load generator fails.
pub fn measure(
    settings: &MeasurementSettings,
    on_progress: &mut dyn FnMut(&str),
) -> Result<String, MeasurementError> {
    settings.create_folder()?;
    let servers = EchoServers::start(MAX_SERVERS)?;
    let mut figures = Figures::default();
    for round in 0..settings.rounds {
        for route in ROUTES {
            let per_second = measure_route(settings, route, &servers.addresses, &mut figures)?;
            let round = round + 1;
            on_progress(&format!(
                "round {round} of {}: {route}: {per_second:.0} requests/s",
                settings.rounds
            ));
        }
    }
    let memory = measure_memory(settings, &servers)?;
    let mut table = figures.table();
    let _ = writeln!(
        table,
        "\nmemory: {:.0} bytes an idle client connection, {:.0} bytes more for a held request",
        memory.idle_connection, memory.held_request
    );
    let _ = writeln!(
        table,
        "(of the proxy's resident size, 5,000 of each; the kernel's own buffers are not in it)"
    );
    Ok(table)
}

/// Measures one round of one route and returns its requests per second.
fn measure_route(
    settings: &MeasurementSettings,
    route: Route,
    servers: &[SocketAddr],
    figures: &mut Figures,
) -> Result<f64, MeasurementError> {
    let proxy = match route {
        Route::Direct => None,
        Route::Proxied { servers: count } => {
            Some(ProxyProcess::start(settings, &format!("n{count}"), &servers[..count], DEADLINE)?)
        }
    };
    let address = proxy.as_ref().map_or(servers[0], |proxy| proxy.address);
    let cpu_before = proxy.as_ref().map_or(0.0, ProxyProcess::cpu_seconds);
    let load = LoadSettings { address, connections: UNPACED_CONNECTIONS, span: settings.span, pace: None };
    let unpaced = offer_load(&load)?;
    figures.add(route, Metric::Throughput, unpaced.per_second);
    if let Some(proxy) = &proxy {
        let cpu = proxy.cpu_seconds() - cpu_before;
        let load_seconds = settings.span.as_secs_f64() * TOTAL_TO_COUNTED_SPAN;
        figures.add(route, Metric::CpuPerRequest, cpu / (unpaced.per_second * load_seconds) * 1e6);
        figures.add(route, Metric::CoresUsed, cpu / load_seconds);
    }
    for connections in PACED_CONNECTIONS {
        let paced = offer_load(&LoadSettings { connections, pace: Some(settings.pace), ..load })?;
        for (percentile, value) in [(50, paced.p50), (95, paced.p95), (99, paced.p99)] {
            figures.add(route, Metric::PacedTime { connections, percentile }, value);
        }
        figures.add(route, Metric::Broken, (unpaced.broken + paced.broken) as f64);
    }
    if let Some(proxy) = proxy {
        let module = proxy.end();
        figures.add(route, Metric::ModuleCpuPerRequest, module.seconds / module.requests.max(1.0) * 1e6);
    }
    Ok(unpaced.per_second)
}

/// The growth of the proxy's resident memory, in bytes.
struct MemoryUse {
    /// Growth per idle client connection.
    idle_connection: f64,
    /// Additional growth per request that a server leaves unanswered.
    held_request: f64,
}

fn measure_memory(
    settings: &MeasurementSettings,
    servers: &EchoServers,
) -> Result<MemoryUse, MeasurementError> {
    let addresses = &servers.addresses[..MEMORY_SERVERS];
    let proxy = ProxyProcess::start(settings, "memory", addresses, MEMORY_DEADLINE)?;
    let before = proxy.resident_bytes();
    let mut streams = (0..MEMORY_CONNECTIONS)
        .map(|_| TcpStream::connect(proxy.address))
        .collect::<Result<Vec<TcpStream>, _>>()
        .map_err(MeasurementError::io(format!("opening {MEMORY_CONNECTIONS} connections to a proxy")))?;
    std::thread::sleep(ACCEPT_SPAN);
    let connected = proxy.resident_bytes();
    servers.silent.store(true, Ordering::Relaxed);
    for stream in &mut streams {
        stream.write_all(REQUEST).map_err(MeasurementError::io("sending a request to a proxy"))?;
    }
    std::thread::sleep(FORWARD_SPAN);
    let holding = proxy.resident_bytes();
    servers.silent.store(false, Ordering::Relaxed);
    Ok(MemoryUse {
        idle_connection: (connected - before) / MEMORY_CONNECTIONS as f64,
        held_request: (holding - connected) / MEMORY_CONNECTIONS as f64,
    })
}
