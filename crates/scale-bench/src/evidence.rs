//! Release evidence of N proxies: what each sends, what a collector receives, sends, stores and computes.
//!
//! The messages are those that the decision modules emit in simulated time. Two proxies are simulated, an
//! ordinary one and a collector; the collector receives the ordinary one's report in the name of all others.

use crate::simulated_proxy::{
    BalancerSize, GossipMessage, SECOND, SimulatedProxy, balancer_settings, server_entries,
};
use crate::table::{Measurement, Unit};
use crate::{Benchmark, RunOptions, ScaleError};
use std::collections::BTreeSet;
use std::time::Duration;
use violetseam::interface::{Event, Micros, ServerEntry};
use violetseam_site_protocol::peer_datagram;

const SERVERS: u64 = 40;
/// Before anything is counted.
const WARM_UP: Micros = 8 * SECOND;
/// In which messages are counted; a multiple of the spans between reports and between votes.
const COUNTED_SPAN: Micros = 24 * SECOND;
/// The same where a collector's time is measured.
const TIMED_SPAN: Micros = 4 * SECOND;
/// Between two reports of one proxy.
const REPORT_INTERVAL: Micros = 800_000;
/// Reports of each proxy while a collector's time is measured.
const TIMED_REPORTS: u64 = TIMED_SPAN / REPORT_INTERVAL;

/// Release evidence as the fleet grows.
pub struct EvidenceBenchmark {
    /// Requests a second of each proxy.
    pub requests_per_second: f64,
}

impl Benchmark for EvidenceBenchmark {
    fn name(&self) -> &'static str {
        "evidence"
    }

    fn size_unit(&self) -> &'static str {
        "proxies"
    }

    fn default_sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[30, 60, 120] } else { &[50, 150, 500, 1_500, 4_700] }
    }

    fn sample(&self, size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
        let fleet = Fleet {
            size,
            requests_per_second: self.requests_per_second,
            servers: server_entries(SERVERS, options.seed)?,
            seed: options.seed,
        };
        let reporter = measure_reporter(&fleet);
        // The collector is simulated as one of the others: the reporter has position 0.
        let position = reporter.collectors.iter().find(|position| **position != REPORTER_POSITION);
        let (Some(&position), Some(report)) = (position, reporter.reports.last()) else {
            return Err(ScaleError::NoCollector { proxies: size });
        };
        let collector = measure_collector(&fleet, position, report)?;
        Ok(measurements(size, &reporter, position, &collector))
    }
}

/// Position of the ordinary proxy in its fleet.
const REPORTER_POSITION: usize = 0;

/// The fleet that a simulated proxy belongs to.
struct Fleet {
    /// Proxies.
    size: u64,
    /// Requests a second of each proxy.
    requests_per_second: f64,
    servers: Vec<ServerEntry>,
    seed: u64,
}

impl Fleet {
    /// The proxy at a position, warmed up.
    fn start_proxy(&self, position: usize) -> SimulatedProxy {
        let balancer = BalancerSize { proxies: self.size as usize, position, tenants: 0 };
        let mut proxy = SimulatedProxy::new(balancer_settings(balancer), &self.servers, self.seed);
        proxy.run(WARM_UP, self.requests_per_second);
        proxy
    }
}

/// What an ordinary proxy sent in [`COUNTED_SPAN`].
struct Reporter {
    votes: u64,
    reports: Vec<GossipMessage>,
    /// Positions of the proxies that it reported to.
    collectors: BTreeSet<usize>,
}

fn measure_reporter(fleet: &Fleet) -> Reporter {
    let mut proxy = fleet.start_proxy(REPORTER_POSITION);
    let votes_before = proxy.votes;
    proxy.gossip.clear();
    proxy.run(COUNTED_SPAN, fleet.requests_per_second);
    let reports = proxy.gossip;
    let collectors = reports.iter().filter_map(|report| report.to).collect();
    Reporter { votes: proxy.votes - votes_before, reports, collectors }
}

/// What a collector sends, stores and computes.
struct Collector {
    /// Sums a second, each to every other proxy.
    sums: f64,
    /// Bytes of these a second.
    sum_bytes: f64,
    state_bytes: u64,
    /// Share of a core with the reports of all others.
    cores: f64,
    /// Share of a core without reports.
    ordinary_cores: f64,
}

/// Simulates a collector that receives a report of each other proxy in each interval between reports.
fn measure_collector(
    fleet: &Fleet,
    position: usize,
    report: &GossipMessage,
) -> Result<Collector, ScaleError> {
    let mut proxy = fleet.start_proxy(position);
    proxy.decision_time = Duration::ZERO;
    proxy.run(TIMED_SPAN, fleet.requests_per_second);
    let ordinary_cores = core_share(proxy.decision_time, TIMED_SPAN);
    run_report_interval(&mut proxy, fleet, position, report);
    proxy.decision_time = Duration::ZERO;
    proxy.gossip.clear();
    for _ in 0..TIMED_REPORTS {
        run_report_interval(&mut proxy, fleet, position, report);
    }
    let span = TIMED_REPORTS * REPORT_INTERVAL;
    let seconds = span as f64 / SECOND as f64;
    let sums: Vec<&GossipMessage> = proxy.gossip.iter().filter(|message| message.to.is_none()).collect();
    Ok(Collector {
        sums: sums.len() as f64 / seconds,
        sum_bytes: datagram_bytes(sums.iter().copied()) / seconds,
        state_bytes: proxy.state_bytes()?,
        cores: core_share(proxy.decision_time, span),
        ordinary_cores,
    })
}

/// The collector receives a report from every other proxy, and takes requests for one interval.
fn run_report_interval(proxy: &mut SimulatedProxy, fleet: &Fleet, position: usize, report: &GossipMessage) {
    for from in (0..fleet.size as usize).filter(|from| *from != position) {
        proxy.handle(Event::PeerMessage { from, payload: &report.payload });
    }
    proxy.run(REPORT_INTERVAL, fleet.requests_per_second);
}

fn measurements(size: u64, reporter: &Reporter, position: usize, collector: &Collector) -> Vec<Measurement> {
    let seconds = COUNTED_SPAN as f64 / SECOND as f64;
    let others = (size - 1) as f64;
    let collectors = reporter.collectors.len() as f64;
    let reports = reporter.reports.len() as f64 / seconds;
    let report_bytes = datagram_bytes(reporter.reports.iter()) / seconds;
    let to_position = reporter.reports.iter().filter(|report| report.to == Some(position));
    let reports_to_one = to_position.count() as f64 / seconds;
    let bytes_to_one = reports_to_one * report_bytes / reports;
    let new = |quantity: &str, unit: Unit, value: f64| Measurement::new(quantity, unit, size, value);
    vec![
        new("collectors", Unit::Count, collectors),
        new("votes of a proxy", Unit::PerSecond, reporter.votes as f64 / seconds),
        new("reports out of a proxy", Unit::PerSecond, reports),
        new("report bytes out of a proxy", Unit::BytesPerSecond, report_bytes),
        new("reports into a collector", Unit::PerSecond, reports_to_one * others),
        new("report bytes into a collector", Unit::BytesPerSecond, bytes_to_one * others),
        new("sums out of a collector", Unit::PerSecond, collector.sums * others),
        new("sum bytes out of a collector", Unit::BytesPerSecond, collector.sum_bytes * others),
        new("sums into a proxy", Unit::PerSecond, collector.sums * collectors),
        new("sum bytes into a proxy", Unit::BytesPerSecond, collector.sum_bytes * collectors),
        new("state of a collector, serialized", Unit::Bytes, collector.state_bytes as f64),
        new("decisions of a proxy", Unit::Cores, collector.ordinary_cores),
        new("decisions of a collector", Unit::Cores, collector.cores),
    ]
}

/// Bytes of the datagrams that carry these messages, without the headers of UDP and IP.
fn datagram_bytes<'a>(messages: impl Iterator<Item = &'a GossipMessage>) -> f64 {
    let datagram = |message: &GossipMessage| {
        peer_datagram::encode(0, 0, peer_datagram::PayloadKind::Gossip, &message.payload)
    };
    messages.filter_map(datagram).map(|bytes| bytes.len()).sum::<usize>() as f64
}

fn core_share(decision_time: Duration, simulated: Micros) -> f64 {
    decision_time.as_secs_f64() / (simulated as f64 / SECOND as f64)
}
