//! The decision module with N servers: time of one request, of the upkeep that comes ten times a second, and
//! of endpoint lists.

use crate::resources::{HISTOGRAM_FIGURES, median_micros, record_nanoseconds};
use crate::simulated_proxy::{BalancerSize, SECOND, SimulatedProxy, balancer_settings, server_entries};
use crate::table::{Measurement, Unit};
use crate::{Benchmark, RunOptions, ScaleError};
use hdrhistogram::Histogram;
use std::time::Duration;
use violetseam::interface::{Event, ListKind, Micros, ServerEntry, ServerStatus};

/// Requests that are timed.
const REQUESTS: usize = 500;
/// The same in a quick run.
const QUICK_REQUESTS: usize = REQUESTS / 10;
const WARM_UP: Micros = 2 * SECOND;
const WARM_UP_REQUESTS_PER_SECOND: f64 = 50.0;
/// Repeats of lists of many servers.
const LIST_REPEATS: usize = 5;
/// Repeats of a list of one server.
const SERVER_DELTA_REPEATS: usize = LIST_REPEATS * 10;
/// Proxies of the fleet that the measured one belongs to.
const FLEET_SIZE: usize = 3;
/// Upkeep runs each tenth of a second.
const UPKEEPS_PER_SECOND: f64 = 10.0;

/// Times of the decision module as the list of servers grows.
pub struct RoutingBenchmark;

impl Benchmark for RoutingBenchmark {
    fn name(&self) -> &'static str {
        "routing"
    }

    fn size_unit(&self) -> &'static str {
        "servers"
    }

    fn default_sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[50, 200, 800] } else { &[100, 1_000, 10_000, 68_000] }
    }

    fn sample(&self, size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
        let servers = server_entries(size, options.seed)?;
        let balancer = BalancerSize { proxies: FLEET_SIZE, position: 0, tenants: 0 };
        let mut proxy = SimulatedProxy::new(balancer_settings(balancer), &servers, options.seed);
        proxy.run(WARM_UP, WARM_UP_REQUESTS_PER_SECOND);
        let attempts_before = proxy.attempts;
        let request_count = if options.quick { QUICK_REQUESTS } else { REQUESTS };
        let requests = time_requests(&mut proxy, request_count)?;
        let attempts = proxy.attempts - attempts_before;
        let upkeep = time_upkeep(&mut proxy);
        let server_delta = time_server_delta(&mut proxy, servers[0])?;
        let zone_delta = time_zone_delta(&mut proxy, &servers)?;
        let full_list = median_micros(LIST_REPEATS, || {
            proxy.handle(Event::ServerList { kind: ListKind::Full, entries: &servers });
        })?;
        let micros = |quantity: &str, value: f64| Measurement::new(quantity, Unit::Microseconds, size, value);
        Ok(vec![
            Measurement::new("attempts", Unit::Count, size, attempts as f64),
            micros("one request, median", requests.value_at_quantile(0.5) as f64 / 1e3),
            micros("one request, p99", requests.value_at_quantile(0.99) as f64 / 1e3),
            micros("upkeep, each 100 ms", upkeep),
            micros("change of one server", server_delta),
            micros("change of a zone", zone_delta),
            micros("whole list", full_list),
        ])
    }
}

/// Times of requests, in nanoseconds.
fn time_requests(proxy: &mut SimulatedProxy, count: usize) -> Result<Histogram<u64>, ScaleError> {
    let mut times = Histogram::new(HISTOGRAM_FIGURES)?;
    for _ in 0..count {
        record_nanoseconds(&mut times, proxy.request(0))?;
        proxy.step();
    }
    Ok(times)
}

/// The mean time of the decisions without requests over each tenth of a second, in microseconds.
fn time_upkeep(proxy: &mut SimulatedProxy) -> f64 {
    // Requests in flight end first.
    proxy.run(SECOND, 0.0);
    proxy.decision_time = Duration::ZERO;
    proxy.run(SECOND, 0.0);
    proxy.decision_time.as_secs_f64() * 1e6 / UPKEEPS_PER_SECOND
}

/// The median time of a change in which one server drains or is ready again, in microseconds.
fn time_server_delta(proxy: &mut SimulatedProxy, server: ServerEntry) -> Result<f64, ScaleError> {
    let mut changed = [server];
    median_micros(SERVER_DELTA_REPEATS, || {
        changed[0].status = match changed[0].status {
            ServerStatus::Ready => ServerStatus::Draining,
            _ => ServerStatus::Ready,
        };
        proxy.handle(Event::ServerList { kind: ListKind::Delta, entries: &changed });
    })
}

/// The median time of a change in which all servers of a zone drain or are ready again, in microseconds.
fn time_zone_delta(proxy: &mut SimulatedProxy, servers: &[ServerEntry]) -> Result<f64, ScaleError> {
    let zone: Vec<ServerEntry> = servers.iter().filter(|server| server.zone == 0).copied().collect();
    let mut is_draining = false;
    median_micros(LIST_REPEATS, || {
        is_draining = !is_draining;
        let status = if is_draining { ServerStatus::Draining } else { ServerStatus::Ready };
        let changed: Vec<ServerEntry> = zone.iter().map(|server| ServerEntry { status, ..*server }).collect();
        proxy.handle(Event::ServerList { kind: ListKind::Delta, entries: &changed });
    })
}
