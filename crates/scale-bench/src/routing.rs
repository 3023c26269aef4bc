//! The decisions with N servers: time of one request, of the upkeep that comes ten times a second, of lists.

use super::resources::median_micros;
use super::simulated::{Proxy, SECOND, entries, settings};
use super::table::{Measurement, Unit};
use super::{Run, ScaleError, Slope};
use hdrhistogram::Histogram;
use std::time::Duration;
use violetseam::interface::{Event, ListKind, ServerEntry, ServerStatus};

const REQUESTS: usize = 500;
const WARM_UP: u64 = 2 * SECOND;
const WARM_UP_REQUESTS_PER_SECOND: f64 = 50.0;
const LISTS: usize = 5;

/// See the module.
pub struct Routing;

impl Slope for Routing {
    fn name(&self) -> &'static str {
        "routing"
    }

    fn size_of(&self) -> &'static str {
        "servers"
    }

    fn sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[50, 200, 800] } else { &[100, 1_000, 10_000, 68_000] }
    }

    fn sample(&self, size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError> {
        let servers = entries(size, run.seed)?;
        let mut proxy = Proxy::new(settings(3, 0, 0), &servers, run.seed);
        proxy.run(WARM_UP, WARM_UP_REQUESTS_PER_SECOND);
        let sent_before = proxy.sends;
        let requests = requests(&mut proxy, if run.quick { REQUESTS / 10 } else { REQUESTS })?;
        let sent = proxy.sends - sent_before;
        let upkeep = upkeep(&mut proxy)?;
        let mut change = [servers[0]];
        let one = median_micros(LISTS * 10, || {
            let drains = change[0].status == ServerStatus::Ready;
            change[0].status = if drains { ServerStatus::Draining } else { ServerStatus::Ready };
            proxy.tell(Event::ServerList { kind: ListKind::Delta, entries: &change });
        })?;
        let zone: Vec<ServerEntry> = servers.iter().filter(|s| s.zone == 0).copied().collect();
        let mut zone_drains = false;
        let zone = median_micros(LISTS, || {
            zone_drains = !zone_drains;
            let status = if zone_drains { ServerStatus::Draining } else { ServerStatus::Ready };
            let change: Vec<ServerEntry> = zone.iter().map(|s| ServerEntry { status, ..*s }).collect();
            proxy.tell(Event::ServerList { kind: ListKind::Delta, entries: &change });
        })?;
        let whole = median_micros(LISTS, || {
            proxy.tell(Event::ServerList { kind: ListKind::Full, entries: &servers });
        })?;
        let micros = |quantity: &str, value: f64| Measurement::new(quantity, Unit::Microseconds, size, value);
        Ok(vec![
            Measurement::new("attempts", Unit::Count, size, sent as f64),
            micros("one request, median", requests.value_at_quantile(0.5) as f64 / 1e3),
            micros("one request, p99", requests.value_at_quantile(0.99) as f64 / 1e3),
            micros("upkeep, each 100 ms", upkeep),
            micros("change of one server", one),
            micros("change of a zone", zone),
            micros("whole list", whole),
        ])
    }
}

/// Times of requests, in nanoseconds.
fn requests(proxy: &mut Proxy, count: usize) -> Result<Histogram<u64>, ScaleError> {
    let mut times = Histogram::new(3).map_err(|e| ScaleError::Failed(e.to_string()))?;
    for _ in 0..count {
        let taken = proxy.request(0).as_nanos() as u64;
        times.record(taken.max(1)).map_err(|e| ScaleError::Failed(e.to_string()))?;
        proxy.step();
    }
    Ok(times)
}

/// The mean time of the decisions without requests, over each tenth of a second.
fn upkeep(proxy: &mut Proxy) -> Result<f64, ScaleError> {
    proxy.run(SECOND, 0.0); // the last answers
    proxy.spent = Duration::ZERO;
    proxy.run(SECOND, 0.0);
    Ok(proxy.spent.as_secs_f64() * 1e6 / 10.0)
}
