//! The endpoint list: calls and bytes between lightweight proxies and a registry, at rest, at a rate of
//! changes, as all watches are cut, and as all proxies start at once.

use super::registry::{RegistryServer, TrafficCounts};
use super::threads::{ControlPlane, MAX_PROXIES, ProxyThreads};
use super::{FleetLimit, FleetSize, counted_span};
use crate::table::{Measurement, Unit};
use crate::{Benchmark, RunOptions, ScaleError};
use clap::Args;
use std::time::{Duration, Instant};

/// A start or a reconnection is given up after this span.
const PHASE_TIMEOUT: Duration = Duration::from_secs(60);
/// Between two checks of the counts.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Counted in a quick run, in seconds.
const QUICK_SECONDS: f64 = 2.0;

/// Arguments of `violetseam lab scale hollow-registry`.
#[derive(Args, Clone, Debug)]
pub struct RegistryArgs {
    /// Servers on the list, where the sizes are proxies
    #[arg(long, default_value_t = 100)]
    pub servers: u64,
    /// So many proxies: the sizes are servers
    #[arg(long)]
    pub proxies: Option<u64>,
    /// Seconds that are counted at rest, and as many while servers change
    #[arg(long, default_value_t = 15.0)]
    pub seconds: f64,
    /// Servers that change each second
    #[arg(long, default_value_t = 2.0)]
    pub changes: f64,
}

impl Benchmark for RegistryArgs {
    fn name(&self) -> &'static str {
        "hollow-registry"
    }

    fn size_unit(&self) -> &'static str {
        if self.proxies.is_some() { "servers" } else { "proxies" }
    }

    fn default_sizes(&self, quick: bool) -> &'static [u64] {
        match (self.proxies.is_some(), quick) {
            (false, true) => &[2, 4, 8],
            (false, false) => &[10, 50, 150, 500],
            (true, true) => &[10, 100, 1_000],
            (true, false) => &[12, 100, 1_000, 5_000, 20_000],
        }
    }

    fn sample(&self, size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
        let limit = FleetLimit { unit: "proxies", max_proxies: MAX_PROXIES as u64 };
        let fleet = FleetSize::new(size, self.servers, self.proxies, limit)?;
        let plan = Plan {
            proxies: fleet.proxies,
            servers: fleet.servers,
            span: counted_span(options.quick, QUICK_SECONDS, self.seconds),
            changes_per_second: self.changes.clamp(0.1, 100.0),
        };
        Ok(measurements(&measure(&plan)?, size))
    }
}

/// One fleet's rows: rates and amounts for each proxy, times of all.
fn measurements(traffic: &EndpointListTraffic, size: u64) -> Vec<Measurement> {
    let proxies = traffic.plan.proxies as f64;
    let mut rows = Vec::new();
    let mut row = |quantity: &str, unit, value| rows.push(Measurement::new(quantity, unit, size, value));
    let rest = traffic.rest.counts;
    let rest_rate = |count: u64| count as f64 / proxies / traffic.rest.seconds;
    row("rest: calls of a proxy", Unit::PerSecond, rest_rate(rest.calls));
    row("rest: bytes to a proxy", Unit::BytesPerSecond, rest_rate(rest.sent_bytes));
    row("rest: bytes from a proxy", Unit::BytesPerSecond, rest_rate(rest.received_bytes));
    let changes = traffic.changes.counts;
    let calls = changes.calls as f64 / proxies / traffic.changes.seconds;
    let bytes = changes.sent_bytes as f64 / proxies;
    row("changes: calls of a proxy", Unit::PerSecond, calls);
    row("changes: bytes to a proxy for each", Unit::Bytes, bytes / traffic.change_count.max(1) as f64);
    for (name, phase) in [("start", traffic.start), ("cut", traffic.reconnection)] {
        let counts = phase.counts;
        let amount = |count: u64| count as f64 / proxies;
        row(&format!("{name}: calls of a proxy"), Unit::Count, amount(counts.calls));
        row(&format!("{name}: whole lists of a proxy"), Unit::Count, amount(counts.full_lists));
        row(&format!("{name}: bytes to a proxy"), Unit::Bytes, amount(counts.sent_bytes));
        row(&format!("{name}: bytes from a proxy"), Unit::Bytes, amount(counts.received_bytes));
        row(&format!("{name}: until all are served"), Unit::Seconds, phase.seconds);
    }
    rows
}

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Lightweight proxies.
    pub proxies: usize,
    /// Servers on the list.
    pub servers: usize,
    /// Counted at rest and at changes, each.
    pub span: Duration,
    /// Changes a second, each of one server and sent as one delta.
    pub changes_per_second: f64,
}

/// What crossed the registry's sockets in one phase.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// How long it took.
    pub seconds: f64,
    /// The counts of it.
    pub counts: TrafficCounts,
}

/// What was measured on one fleet.
#[derive(Clone, Copy, Debug)]
pub struct EndpointListTraffic {
    /// The plan.
    pub plan: Plan,
    /// All proxies start at once, until each was sent a complete list.
    pub start: Phase,
    /// Nothing changes.
    pub rest: Phase,
    /// Servers change.
    pub changes: Phase,
    /// How many changes there were.
    pub change_count: u64,
    /// All watches are cut, until all are open again.
    pub reconnection: Phase,
}

/// Runs one fleet.
///
/// # Errors
/// [`ScaleError`] if the registry or a proxy does not start, a phase takes too long, or a proxy fails.
pub fn measure(plan: &Plan) -> Result<EndpointListTraffic, ScaleError> {
    let registry = RegistryServer::start(plan.servers)?;
    let control_plane = ControlPlane { registry: registry.address, controller: registry.address };
    let fleet_size = plan.proxies as u64;
    let all_watch = |counts: &TrafficCounts| counts.open_watches == fleet_size && counts.unsent_bytes == 0;

    let timer = PhaseTimer::start(&registry);
    let proxies = ProxyThreads::start(plan.proxies, control_plane)?;
    wait_for(&registry, "whole lists for all", |counts| {
        counts.full_lists >= fleet_size && all_watch(counts)
    })?;
    let start = timer.finish();

    let timer = PhaseTimer::start(&registry);
    std::thread::sleep(plan.span);
    let rest = timer.finish();

    let timer = PhaseTimer::start(&registry);
    let change_count = change_servers(&registry, plan);
    let expected_deltas = timer.before.deltas + change_count * fleet_size;
    wait_for(&registry, "deltas for all", |counts| counts.deltas >= expected_deltas && all_watch(counts))?;
    let changes = timer.finish();

    let timer = PhaseTimer::start(&registry);
    registry.close_connections();
    let expected_calls = timer.before.calls + fleet_size;
    wait_for(&registry, "watches opened again", |counts| {
        counts.calls >= expected_calls && all_watch(counts)
    })?;
    let reconnection = timer.finish();

    proxies.stop()?;
    Ok(EndpointListTraffic { plan: *plan, start, rest, changes, change_count, reconnection })
}

/// The start of a phase: its time and the counts before it.
struct PhaseTimer<'a> {
    registry: &'a RegistryServer,
    started: Instant,
    before: TrafficCounts,
}

impl PhaseTimer<'_> {
    fn start(registry: &RegistryServer) -> PhaseTimer<'_> {
        PhaseTimer { registry, started: Instant::now(), before: registry.counts() }
    }

    fn finish(self) -> Phase {
        let seconds = self.started.elapsed().as_secs_f64();
        Phase { seconds, counts: self.registry.counts().since(&self.before) }
    }
}

/// Changes servers at the plan's rate over its span; how many.
fn change_servers(registry: &RegistryServer, plan: &Plan) -> u64 {
    let started = Instant::now();
    let count = (plan.span.as_secs_f64() * plan.changes_per_second).round() as u64;
    for number in 0..count {
        let due = Duration::from_secs_f64(number as f64 / plan.changes_per_second);
        std::thread::sleep(due.saturating_sub(started.elapsed()));
        registry.change_servers(1);
    }
    std::thread::sleep(plan.span.saturating_sub(started.elapsed()));
    count
}

/// Waits until the registry's counts fulfil a condition.
fn wait_for(
    registry: &RegistryServer,
    expected: &'static str,
    is_fulfilled: impl Fn(&TrafficCounts) -> bool,
) -> Result<(), ScaleError> {
    let give_up_at = Instant::now() + PHASE_TIMEOUT;
    loop {
        let counts = registry.counts();
        if is_fulfilled(&counts) {
            return Ok(());
        }
        if Instant::now() >= give_up_at {
            return Err(ScaleError::RegistryTimeout { expected, counts });
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
}
