//! The server list: calls and bytes between hollow proxies and a registry, at rest, at a rate of changes, as all
//! watches are cut, and as all proxies start at once.

use super::hollow_proxies::{ControlPlane, HollowProxies, PROXIES_MOST};
use super::hollow_registry::{Counts, Registry};
use super::table::{Measurement, Unit};
use super::{Run, ScaleError, Slope};
use clap::Args;
use std::time::{Duration, Instant};

/// A start or a reconnection is given up after this span.
const PATIENCE: Duration = Duration::from_secs(60);
/// Between two looks at what is awaited.
const LOOK: Duration = Duration::from_millis(2);

/// Most servers that are listed: what a proxy takes (`violetseam_site_protocol::endpoint_list::MAX_SERVERS`).
const SERVERS_MOST: u64 = violetseam_site_protocol::endpoint_list::MAX_SERVERS as u64;

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

impl Slope for RegistryArgs {
    fn name(&self) -> &'static str {
        "hollow-registry"
    }

    fn size_of(&self) -> &'static str {
        if self.proxies.is_some() { "servers" } else { "proxies" }
    }

    fn sizes(&self, quick: bool) -> &'static [u64] {
        match (self.proxies.is_some(), quick) {
            (false, true) => &[2, 4, 8],
            (false, false) => &[10, 50, 150, 500],
            (true, true) => &[10, 100, 1_000],
            (true, false) => &[12, 100, 1_000, 5_000, 20_000],
        }
    }

    fn sample(&self, size: u64, run: &Run) -> Result<Vec<Measurement>, ScaleError> {
        let (proxies, servers) = self.proxies.map_or((size, self.servers), |proxies| (proxies, size));
        if !(1..=PROXIES_MOST as u64).contains(&proxies) || !(1..=SERVERS_MOST).contains(&servers) {
            let bounds = format!("1 to {PROXIES_MOST} proxies and 1 to {SERVERS_MOST} servers");
            return Err(ScaleError::Failed(bounds));
        }
        let seconds = if run.quick { 2.0 } else { self.seconds.clamp(1.0, 60.0) };
        let plan = Plan {
            proxies: proxies as usize,
            servers: servers as usize,
            span: Duration::from_secs_f64(seconds),
            changes_per_second: self.changes.clamp(0.1, 100.0),
        };
        Ok(measurements(&measure(&plan).map_err(ScaleError::Failed)?, size))
    }
}

/// One fleet's rows: rates and amounts for each proxy, times of all.
fn measurements(list: &List, size: u64) -> Vec<Measurement> {
    let proxies = list.plan.proxies as f64;
    let mut rows = Vec::new();
    let mut row = |what: &str, unit, value| rows.push(Measurement::new(what, unit, size, value));
    let rest = list.rest;
    row("rest: calls of a proxy", Unit::PerSecond, rest.counts.calls as f64 / proxies / rest.seconds);
    row("rest: bytes to a proxy", Unit::BytesPerSecond, rest.counts.sent as f64 / proxies / rest.seconds);
    row(
        "rest: bytes from a proxy",
        Unit::BytesPerSecond,
        rest.counts.received as f64 / proxies / rest.seconds,
    );
    let changes = list.changes;
    let calls = changes.counts.calls as f64 / proxies / changes.seconds;
    let bytes = changes.counts.sent as f64 / proxies;
    row("changes: calls of a proxy", Unit::PerSecond, calls);
    row("changes: bytes to a proxy for each", Unit::Bytes, bytes / list.changed.max(1) as f64);
    for (name, phase) in [("start", list.start), ("cut", list.cut)] {
        let counts = phase.counts;
        row(&format!("{name}: calls of a proxy"), Unit::Count, counts.calls as f64 / proxies);
        row(&format!("{name}: whole lists of a proxy"), Unit::Count, counts.whole_lists as f64 / proxies);
        row(&format!("{name}: bytes to a proxy"), Unit::Bytes, counts.sent as f64 / proxies);
        row(&format!("{name}: bytes from a proxy"), Unit::Bytes, counts.received as f64 / proxies);
        row(&format!("{name}: until all are served"), Unit::Seconds, phase.seconds);
    }
    rows
}

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Hollow proxies.
    pub proxies: usize,
    /// Servers on the list.
    pub servers: usize,
    /// Counted at rest and at changes, each.
    pub span: Duration,
    /// Changes a second, each of one server and told as one delta.
    pub changes_per_second: f64,
}

/// What crossed the registry's sockets in one phase.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// How long it took.
    pub seconds: f64,
    /// The counts of it.
    pub counts: Counts,
}

/// What one fleet gave.
#[derive(Clone, Copy, Debug)]
pub struct List {
    /// The plan.
    pub plan: Plan,
    /// All proxies start at once, until each was sent a whole list.
    pub start: Phase,
    /// Nothing changes.
    pub rest: Phase,
    /// Servers change.
    pub changes: Phase,
    /// How many changes there were.
    pub changed: u64,
    /// All watches are cut, until all are open again.
    pub cut: Phase,
}

/// Runs one fleet.
///
/// # Errors
/// A text that says what failed.
pub fn measure(plan: &Plan) -> Result<List, String> {
    let registry = Registry::start(plan.servers).map_err(|e| e.to_string())?;
    let control = ControlPlane { registry: registry.addr, controller: registry.addr };
    let (began, zero) = (Instant::now(), Counts::default());
    let proxies = HollowProxies::start(plan.proxies, control)?;
    let watching = |counts: &Counts| counts.watches == plan.proxies as u64 && counts.unsent == 0;
    await_counts(&registry, "whole lists for all", |counts| {
        counts.whole_lists >= plan.proxies as u64 && watching(counts)
    })?;
    let start = phase(&registry, began, &zero);

    let (began, before) = (Instant::now(), registry.counts());
    std::thread::sleep(plan.span);
    let rest = phase(&registry, began, &before);

    let (began, before) = (Instant::now(), registry.counts());
    let changed = change(&registry, plan, began);
    let told = before.deltas + changed * plan.proxies as u64;
    await_counts(&registry, "deltas for all", |counts| counts.deltas >= told && watching(counts))?;
    let changes = phase(&registry, began, &before);

    let (began, before) = (Instant::now(), registry.counts());
    registry.cut();
    await_counts(&registry, "watches opened again", |counts| {
        counts.calls >= before.calls + plan.proxies as u64 && watching(counts)
    })?;
    let cut = phase(&registry, began, &before);
    let faults = proxies.stop();
    if faults > 0 {
        return Err(format!("{faults} hollow proxies ended with a fault"));
    }
    Ok(List { plan: *plan, start, rest, changes, changed, cut })
}

fn phase(registry: &Registry, began: Instant, before: &Counts) -> Phase {
    Phase { seconds: began.elapsed().as_secs_f64(), counts: registry.counts().since(before) }
}

/// Changes servers at the plan's rate; how many.
fn change(registry: &Registry, plan: &Plan, began: Instant) -> u64 {
    let count = (plan.span.as_secs_f64() * plan.changes_per_second).round() as u64;
    for number in 0..count {
        let due = Duration::from_secs_f64(number as f64 / plan.changes_per_second);
        std::thread::sleep(due.saturating_sub(began.elapsed()));
        registry.change(1);
    }
    std::thread::sleep(plan.span.saturating_sub(began.elapsed()));
    count
}

fn await_counts(registry: &Registry, what: &str, is: impl Fn(&Counts) -> bool) -> Result<(), String> {
    let until = Instant::now() + PATIENCE;
    loop {
        let counts = registry.counts();
        if is(&counts) {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(format!("waited in vain for {what}: {counts:?}"));
        }
        std::thread::sleep(LOOK);
    }
}
