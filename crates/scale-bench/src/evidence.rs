//! Release evidence of N proxies: what each sends, what a collector hears, sends, holds and computes.
//!
//! The messages are those that the decisions emit in simulated time. Two proxies are played, an ordinary
//! one and a collector; the collector hears the ordinary one's report in the name of all others.

use super::simulated::{Proxy, SECOND, Told, entries, settings};
use super::table::{Measurement, Unit};
use super::{Run, ScaleError, Slope};
use std::collections::BTreeSet;
use std::time::Duration;
use violetseam::interface::{Event, Micros};
use violetseam_site_protocol::peer_datagram;

const SERVERS: u64 = 40;
/// Before anything is counted.
const WARM_UP: Micros = 8 * SECOND;
/// In which messages are counted; a multiple of the spans between reports and between votes.
const COUNTED: Micros = 24 * SECOND;
/// The same where a collector's time is measured.
const COMPUTED: Micros = 4 * SECOND;
/// Between two reports of one proxy.
const REPORT_EVERY: Micros = 800_000;

/// See the module.
pub struct Evidence {
    /// Requests a second of each proxy.
    pub requests_per_second: f64,
}

impl Slope for Evidence {
    fn name(&self) -> &'static str {
        "evidence"
    }

    fn size_of(&self) -> &'static str {
        "proxies"
    }

    fn sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[30, 60, 120] } else { &[50, 150, 500, 1_500, 4_700] }
    }

    fn sample(&self, size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError> {
        let servers = entries(SERVERS, run.seed)?;
        let proxies = size as usize;
        let mut ordinary = Proxy::new(settings(proxies, 0, 0), &servers, run.seed);
        ordinary.run(WARM_UP, self.requests_per_second);
        let (votes, reported) = (ordinary.votes, ordinary.told.len());
        ordinary.run(COUNTED, self.requests_per_second);
        let reports = &ordinary.told[reported..];
        let collectors: BTreeSet<usize> = reports.iter().filter_map(|told| told.to).collect();
        let position = collectors.iter().find(|position| **position != 0);
        let (Some(&position), Some(report)) = (position, reports.last()) else {
            return Err(ScaleError::Failed(format!("a proxy of {size} reports to no collector")));
        };
        let collector = collect(size, position, report, self.requests_per_second, run)?;
        let seconds = COUNTED as f64 / SECOND as f64;
        let others = (size - 1) as f64;
        let sent = reports.len() as f64 / seconds;
        let sent_bytes = bytes_of(reports.iter()) / seconds;
        let to_one = reports.iter().filter(|told| told.to == Some(position)).count() as f64 / seconds;
        let to_one_bytes = to_one * sent_bytes / sent;
        let new = |quantity: &str, unit: Unit, value: f64| Measurement::new(quantity, unit, size, value);
        Ok(vec![
            new("collectors", Unit::Count, collectors.len() as f64),
            new("votes of a proxy", Unit::PerSecond, (ordinary.votes - votes) as f64 / seconds),
            new("reports out of a proxy", Unit::PerSecond, sent),
            new("report bytes out of a proxy", Unit::BytesPerSecond, sent_bytes),
            new("reports into a collector", Unit::PerSecond, to_one * others),
            new("report bytes into a collector", Unit::BytesPerSecond, to_one_bytes * others),
            new("sums out of a collector", Unit::PerSecond, collector.sums * others),
            new("sum bytes out of a collector", Unit::BytesPerSecond, collector.sum_bytes * others),
            new("sums into a proxy", Unit::PerSecond, collector.sums * collectors.len() as f64),
            new(
                "sum bytes into a proxy",
                Unit::BytesPerSecond,
                collector.sum_bytes * collectors.len() as f64,
            ),
            new("state of a collector, serialized", Unit::Bytes, collector.state_bytes as f64),
            new("decisions of a proxy", Unit::Cores, collector.ordinary_cores),
            new("decisions of a collector", Unit::Cores, collector.cores),
        ])
    }
}

struct Collector {
    /// Sums a second, each to every other proxy.
    sums: f64,
    sum_bytes: f64,
    state_bytes: u64,
    cores: f64,
    ordinary_cores: f64,
}

/// Plays a collector that hears a report of each other proxy in each span between reports.
fn collect(
    size: u64,
    position: usize,
    report: &Told,
    requests_per_second: f64,
    run: &Run,
) -> Result<Collector, ScaleError> {
    let servers = entries(SERVERS, run.seed)?;
    let mut proxy = Proxy::new(settings(size as usize, position, 0), &servers, run.seed);
    proxy.run(WARM_UP, requests_per_second);
    proxy.spent = Duration::ZERO;
    proxy.run(COMPUTED, requests_per_second);
    let ordinary_cores = share_of_core(proxy.spent, COMPUTED);
    hear_all(&mut proxy, size, position, report);
    proxy.run(REPORT_EVERY, requests_per_second);
    (proxy.spent, proxy.told) = (Duration::ZERO, Vec::new());
    let rounds = COMPUTED / REPORT_EVERY;
    for _ in 0..rounds {
        hear_all(&mut proxy, size, position, report);
        proxy.run(REPORT_EVERY, requests_per_second);
    }
    let seconds = (rounds * REPORT_EVERY) as f64 / SECOND as f64;
    let sums: Vec<&Told> = proxy.told.iter().filter(|told| told.to.is_none()).collect();
    Ok(Collector {
        sums: sums.len() as f64 / seconds,
        sum_bytes: bytes_of(sums.iter().copied()) / seconds,
        state_bytes: proxy.state_bytes()?,
        cores: share_of_core(proxy.spent, rounds * REPORT_EVERY),
        ordinary_cores,
    })
}

fn hear_all(proxy: &mut Proxy, size: u64, position: usize, report: &Told) {
    for from in (0..size as usize).filter(|from| *from != position) {
        proxy.tell(Event::PeerMessage { from, payload: &report.payload });
    }
}

/// Bytes of the datagrams that carry these messages, without the headers of UDP and IP.
fn bytes_of<'a>(told: impl Iterator<Item = &'a Told>) -> f64 {
    let datagram =
        |told: &Told| peer_datagram::encode(0, 0, peer_datagram::PayloadKind::Gossip, &told.payload);
    told.filter_map(datagram).map(|bytes| bytes.len()).sum::<usize>() as f64
}

fn share_of_core(spent: Duration, simulated: Micros) -> f64 {
    spent.as_secs_f64() / (simulated as f64 / SECOND as f64)
}
