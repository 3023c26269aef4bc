//! Release evidence between peers: datagrams and bytes a second in and out of a collector and of an ordinary
//! proxy.

mod loopback;
mod rates;

pub use rates::{EvidenceTraffic, RoleRates};

use super::counted_span;
use super::engine_fleet::{EngineFleet, FleetConfig, ReleaseSource, START_TIME, simulate};
use crate::table::{Measurement, Unit};
use crate::{Benchmark, RunOptions, ScaleError};
use clap::Args;
use std::time::Duration;
use violetseam::interface::Micros;

/// A datagram's time on the way in simulated time.
const LATENCY: Micros = 500;
/// Smallest fleet: two proxies have something to exchange.
const MIN_PROXIES: u64 = 2;
/// Largest fleet: each proxy has a descriptor of its own.
const MAX_PROXIES: u64 = 10_000;
/// Servers on each proxy's list.
const SERVERS: usize = 12;
/// Counted in a quick run, in seconds.
const QUICK_SECONDS: f64 = 4.0;
/// The warm-up is this part of the counted span.
const WARM_UP_DIVISOR: u32 = 4;

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

impl EvidenceArgs {
    fn plan(&self, size: u64, options: &RunOptions) -> Plan {
        let fleet = FleetConfig {
            proxies: size as usize,
            servers: SERVERS,
            request_rate: self.requests.clamp(0.0, 1_000.0),
            vote_ttl: (self.vote_life.clamp(1.0, 3_600.0) * 1e6) as Micros,
            release_source: if self.rest { ReleaseSource::Released } else { ReleaseSource::OnTrial },
            seed: options.seed,
        };
        let span = counted_span(options.quick, QUICK_SECONDS, self.seconds);
        let transport = if self.simulated { Transport::Simulated } else { Transport::Loopback };
        Plan { fleet, transport, warm_up: span / WARM_UP_DIVISOR, span }
    }
}

impl Benchmark for EvidenceArgs {
    fn name(&self) -> &'static str {
        "hollow-evidence"
    }

    fn size_unit(&self) -> &'static str {
        "proxies"
    }

    fn default_sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[10, 25, 50] } else { &[10, 20, 50, 150, 500, 1_500, 4_700] }
    }

    fn sample(&self, size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
        if !(MIN_PROXIES..=MAX_PROXIES).contains(&size) {
            return Err(ScaleError::ProxiesOutOfBounds { min: MIN_PROXIES, max: MAX_PROXIES });
        }
        Ok(measurements(&measure(&self.plan(size, options))?))
    }
}

/// One fleet's rows. A fleet in a full mesh has no collector and no rows for one.
fn measurements(evidence: &EvidenceTraffic) -> Vec<Measurement> {
    let size = evidence.proxies as u64;
    let mut rows = Vec::new();
    for (role, rates) in [("collector", &evidence.collector), ("proxy", &evidence.ordinary)] {
        if rates.proxies == 0 {
            continue;
        }
        let mut row = |quantity: &str, unit, value| {
            rows.push(Measurement::new(&format!("{role}: {quantity}"), unit, size, value));
        };
        row("datagrams in", Unit::PerSecond, rates.received);
        row("bytes in", Unit::BytesPerSecond, rates.received_bytes);
        row("datagrams out", Unit::PerSecond, rates.sent);
        row("bytes out", Unit::BytesPerSecond, rates.sent_bytes);
        row("votes", Unit::PerSecond, rates.votes);
        row("vote bodies", Unit::BytesPerSecond, rates.vote_bytes);
        if evidence.transport == Transport::Loopback {
            row("decisions", Unit::Cores, rates.decision_micros / 1e6);
        }
    }
    rows.push(Measurement::new("lost of 1,000,000 sent", Unit::Count, size, evidence.lost_share * 1e6));
    rows
}

/// How the datagrams are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    /// None: simulated time, datagrams counted as they are handed over.
    Simulated,
    /// UDP sockets on loopback, one for each proxy, in real time.
    Loopback,
}

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The fleet.
    pub fleet: FleetConfig,
    /// How the datagrams are delivered.
    pub transport: Transport,
    /// Passes before counting begins.
    pub warm_up: Duration,
    /// Is counted.
    pub span: Duration,
}

/// Runs one fleet.
///
/// # Errors
/// Errors of the sockets or the event loop.
pub fn measure(plan: &Plan) -> std::io::Result<EvidenceTraffic> {
    let mut fleet = EngineFleet::new(plan.fleet);
    match plan.transport {
        Transport::Simulated => run_simulated(&mut fleet, plan),
        Transport::Loopback => {
            fleet.measure_decision_time();
            loopback::run(&mut fleet, plan)?;
        }
    }
    Ok(EvidenceTraffic::of(&fleet, plan))
}

fn run_simulated(fleet: &mut EngineFleet, plan: &Plan) {
    let counting_from = simulate(fleet, START_TIME, START_TIME + micros(plan.warm_up), LATENCY);
    fleet.reset_traffic();
    simulate(fleet, counting_from, counting_from + micros(plan.span), LATENCY);
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}
