//! Release evidence between peers: datagrams and bytes a second in and out of a collector and of a plain proxy.

use super::hollow_engine::{BEGIN, EngineFleet, Releases, Shape, Traffic, simulate};
use super::table::{Measurement, Unit};
use super::{Run, ScaleError, Slope};
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, Mode, PostAction};
use clap::Args;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant};
use violetseam::interface::Micros;
use violetseam_site_protocol::peer_datagram::MAX_DATAGRAM_BYTES;

/// A datagram's way in simulated time.
const LATENCY: Micros = 500;
/// Datagrams that one socket gives in one turn of the loop.
const TURN_MOST: usize = 256;
/// Largest fleet: each proxy has a descriptor of its own.
const PROXIES_MOST: u64 = 10_000;
/// Longest span that is counted, in seconds.
const SECONDS_MOST: f64 = 60.0;
/// Servers that each proxy is told of.
const SERVERS: usize = 12;

/// Arguments of `violetseam lab scale hollow-evidence`; the sizes are proxies.
#[derive(Args, Clone, Debug)]
pub struct EvidenceArgs {
    /// Requests a second that each proxy takes for the service whose build is on trial
    #[arg(long, default_value_t = 2.0)]
    pub requests: f64,
    /// Seconds that are counted, after a quarter of them that is not
    #[arg(long, default_value_t = 16.0)]
    pub seconds: f64,
    /// Count in simulated time, without sockets
    #[arg(long)]
    pub simulated: bool,
    /// No build is on trial
    #[arg(long)]
    pub rest: bool,
    /// Seconds that a vote stands
    #[arg(long, default_value_t = 10.0)]
    pub vote_life: f64,
}

impl Slope for EvidenceArgs {
    fn name(&self) -> &'static str {
        "hollow-evidence"
    }

    fn size_of(&self) -> &'static str {
        "proxies"
    }

    fn sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[10, 25, 50] } else { &[10, 20, 50, 150, 500, 1_500, 4_700] }
    }

    fn sample(&self, size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError> {
        if !(2..=PROXIES_MOST).contains(&size) {
            return Err(ScaleError::Failed(format!("a fleet has 2 to {PROXIES_MOST} proxies")));
        }
        let seconds = if run.quick { 4.0 } else { self.seconds.clamp(1.0, SECONDS_MOST) };
        let shape = Shape {
            proxies: size as usize,
            servers: SERVERS,
            request_rate: self.requests.clamp(0.0, 1_000.0),
            vote_life: (self.vote_life.clamp(1.0, 3_600.0) * 1e6) as Micros,
            releases: if self.rest { Releases::Released } else { Releases::OnTrial },
            seed: run.seed,
        };
        let carrier = if self.simulated { Carrier::Simulated } else { Carrier::Loopback };
        let span = Duration::from_secs_f64(seconds);
        Ok(measurements(&measure(&Plan { shape, carrier, warm_up: span / 4, span })?))
    }
}

/// One fleet's rows. A fleet in which all tell all has no collector and no rows for one.
fn measurements(evidence: &Evidence) -> Vec<Measurement> {
    let size = evidence.proxies as u64;
    let mut rows = Vec::new();
    for (role, rates) in [("collector", &evidence.collector), ("proxy", &evidence.plain)] {
        if rates.proxies == 0 {
            continue;
        }
        let mut row = |what: &str, unit, value| {
            rows.push(Measurement::new(&format!("{role}: {what}"), unit, size, value));
        };
        row("datagrams in", Unit::PerSecond, rates.received);
        row("bytes in", Unit::BytesPerSecond, rates.received_bytes);
        row("datagrams out", Unit::PerSecond, rates.sent);
        row("bytes out", Unit::BytesPerSecond, rates.sent_bytes);
        row("votes", Unit::PerSecond, rates.votes);
        row("vote bodies", Unit::BytesPerSecond, rates.vote_bytes);
        if evidence.carrier == Carrier::Loopback {
            row("decisions", Unit::Cores, rates.module_us / 1e6);
        }
    }
    rows.push(Measurement::new("lost of 1,000,000 sent", Unit::Count, size, evidence.lost * 1e6));
    rows
}

/// What carries the datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carrier {
    /// None: simulated time, datagrams counted as they are handed over.
    Simulated,
    /// UDP sockets on loopback, one for each proxy, in real time.
    Loopback,
}

/// One role's flows, a second and proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Proxies of the role.
    pub proxies: usize,
    /// Datagrams received.
    pub received: f64,
    /// Bytes received, without the 28 bytes that UDP and IP add to each datagram.
    pub received_bytes: f64,
    /// Datagrams sent.
    pub sent: f64,
    /// Bytes sent, counted likewise.
    pub sent_bytes: f64,
    /// Votes.
    pub votes: f64,
    /// Bytes of the votes' bodies.
    pub vote_bytes: f64,
    /// Microseconds of the decisions; 0 in simulated time, where they are not timed.
    pub module_us: f64,
}

/// What one fleet gave.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// Proxies.
    pub proxies: usize,
    /// What carried the datagrams.
    pub carrier: Carrier,
    /// Proxies that send a sum to all peers; none where all tell all.
    pub collector: Rates,
    /// All others.
    pub plain: Rates,
    /// Share of the datagrams sent that did not arrive within the counted span.
    pub lost: f64,
}

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The fleet.
    pub shape: Shape,
    /// What carries the datagrams.
    pub carrier: Carrier,
    /// Passes before counting begins.
    pub warm_up: Duration,
    /// Is counted.
    pub span: Duration,
}

/// Runs one fleet.
///
/// # Errors
/// Errors of the sockets or the event loop.
pub fn measure(plan: &Plan) -> std::io::Result<Evidence> {
    let mut fleet = EngineFleet::new(plan.shape);
    match plan.carrier {
        Carrier::Simulated => run_simulated(&mut fleet, plan),
        Carrier::Loopback => {
            fleet.time_module();
            run_on_sockets(&mut fleet, plan)?;
        }
    }
    Ok(summarize(&fleet, plan))
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

fn run_simulated(fleet: &mut EngineFleet, plan: &Plan) {
    let warm = simulate(fleet, BEGIN, BEGIN + micros(plan.warm_up), LATENCY);
    fleet.reset_traffic();
    simulate(fleet, warm, warm + micros(plan.span), LATENCY);
}

/// Datagrams that have come: the receiver's number and the bytes.
type Inbox = Vec<(usize, Box<[u8]>)>;

/// One socket for each proxy, read into the inbox.
fn sockets(count: usize, on: &EventLoop<'static, Inbox>) -> std::io::Result<Vec<Rc<UdpSocket>>> {
    let mut sockets = Vec::with_capacity(count);
    for number in 0..count {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_nonblocking(true)?;
        let socket = Rc::new(socket);
        sockets.push(socket.clone());
        let source = Generic::new(socket, Interest::READ, Mode::Level);
        on.handle()
            .insert_source(source, move |_, socket, inbox: &mut Inbox| {
                read_datagrams(number, socket, inbox);
                Ok(PostAction::Continue)
            })
            .map_err(|e| std::io::Error::other(e.to_string()))?;
    }
    Ok(sockets)
}

fn read_datagrams(number: usize, socket: &UdpSocket, inbox: &mut Inbox) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    for _ in 0..TURN_MOST {
        let Ok(length) = socket.recv(&mut bytes) else { return };
        inbox.push((number, bytes[..length].into()));
    }
}

fn run_on_sockets(fleet: &mut EngineFleet, plan: &Plan) -> std::io::Result<()> {
    let mut event_loop: EventLoop<'static, Inbox> = EventLoop::try_new().map_err(std::io::Error::other)?;
    let sockets = sockets(plan.shape.proxies, &event_loop)?;
    let addresses: Vec<SocketAddr> =
        sockets.iter().map(|socket| socket.local_addr()).collect::<std::io::Result<_>>()?;
    let (began, mut inbox, mut counting) = (Instant::now(), Inbox::new(), false);
    loop {
        let now = BEGIN + micros(began.elapsed());
        if !counting && began.elapsed() >= plan.warm_up {
            counting = true;
            fleet.reset_traffic();
        }
        if began.elapsed() >= plan.warm_up + plan.span {
            return Ok(());
        }
        fleet.advance(now);
        for datagram in fleet.take_outbox() {
            // One that the kernel does not take is lost, as on a network.
            let _ = sockets[datagram.from].send_to(&datagram.bytes, addresses[datagram.to]);
        }
        let wait =
            fleet.due().map_or(1_000, |due| due.saturating_sub(BEGIN + micros(began.elapsed())).min(1_000));
        event_loop.dispatch(Duration::from_micros(wait), &mut inbox).map_err(std::io::Error::other)?;
        let now = BEGIN + micros(began.elapsed());
        for (to, bytes) in inbox.drain(..) {
            fleet.deliver(now, to, &bytes);
        }
    }
}

fn summarize(fleet: &EngineFleet, plan: &Plan) -> Evidence {
    let traffic = fleet.traffic();
    let mesh = traffic.iter().all(|t| t.broadcasts > 0);
    let is_collector = |t: &Traffic| t.broadcasts > 0 && !mesh;
    let of = |collector: bool| {
        let chosen: Vec<usize> =
            (0..traffic.len()).filter(|&number| is_collector(&traffic[number]) == collector).collect();
        rates(fleet, &traffic, &chosen, plan)
    };
    let sum = |get: fn(&Traffic) -> u64| traffic.iter().map(get).sum::<u64>() as f64;
    let (sent, received) = (sum(|t| t.sent.messages), sum(|t| t.received.messages));
    Evidence {
        proxies: traffic.len(),
        carrier: plan.carrier,
        collector: of(true),
        plain: of(false),
        lost: (1.0 - received / sent.max(1.0)).max(0.0),
    }
}

fn rates(fleet: &EngineFleet, traffic: &[Traffic], chosen: &[usize], plan: &Plan) -> Rates {
    let shared = chosen.len().max(1) as f64 * plan.span.as_secs_f64();
    let rate = |get: fn(&Traffic) -> u64| {
        chosen.iter().map(|&number| get(&traffic[number])).sum::<u64>() as f64 / shared
    };
    let module: f64 = chosen.iter().map(|&number| fleet.module_seconds(number)).sum();
    // The decisions are timed from the start on.
    let timed = chosen.len().max(1) as f64 * (plan.warm_up + plan.span).as_secs_f64();
    Rates {
        proxies: chosen.len(),
        received: rate(|t| t.received.messages),
        received_bytes: rate(|t| t.received.bytes),
        sent: rate(|t| t.sent.messages),
        sent_bytes: rate(|t| t.sent.bytes),
        votes: rate(|t| t.votes.messages),
        vote_bytes: rate(|t| t.votes.bytes),
        module_us: module / timed * 1e6,
    }
}
