//! Release status and votes: lightweight proxies before a release controller, a process of the program with
//! its journal.
//!
//! Each proxy is an engine that judges the build by random answers, has a watch on the status and casts its
//! votes as calls. Evidence between the proxies is handed over within this process.

mod clients;
mod phases;

pub use clients::ClientCounts;
pub use phases::{Phase, Plan, ReleaseTraffic, measure};

use super::counted_span;
use super::engine_fleet::{FleetConfig, ReleaseSource};
use crate::table::{Measurement, Unit};
use crate::{Benchmark, RunOptions, ScaleError};
use clap::Args;
use violetseam::interface::Micros;

/// Most proxies: each has a descriptor here and one in the controller, and votes take more.
const MAX_PROXIES: u64 = 6_000;
/// Servers on each proxy's list.
const SERVERS: usize = 12;
/// Counted in a quick run, in seconds.
const QUICK_SECONDS: f64 = 3.0;

/// Arguments of `violetseam lab scale hollow-release`; the sizes are proxies.
#[derive(Args, Clone, Debug)]
pub struct ReleaseArgs {
    /// Requests a second that each proxy takes for the service whose build is on trial
    #[arg(long, default_value_t = 2.0)]
    pub requests: f64,
    /// Seconds that are counted at rest, and as many with a build on trial
    #[arg(long, default_value_t = 15.0)]
    pub seconds: f64,
    /// Seconds that a vote stands
    #[arg(long, default_value_t = 10.0)]
    pub vote_life: f64,
    /// Votes a second that the controller's plan allows
    #[arg(long, default_value_t = 100_000.0)]
    pub allowance: f64,
}

impl ReleaseArgs {
    fn plan(&self, size: u64, options: &RunOptions) -> Plan {
        let fleet = FleetConfig {
            proxies: size as usize,
            servers: SERVERS,
            request_rate: self.requests.clamp(0.0, 1_000.0),
            vote_ttl: (self.vote_life.clamp(1.0, 600.0) * 1e6) as Micros,
            release_source: ReleaseSource::ExternalController,
            seed: options.seed,
        };
        Plan {
            fleet,
            vote_rate_limit: self.allowance.clamp(1.0, 1e6),
            span: counted_span(options.quick, QUICK_SECONDS, self.seconds),
        }
    }
}

impl Benchmark for ReleaseArgs {
    fn name(&self) -> &'static str {
        "hollow-release"
    }

    fn size_unit(&self) -> &'static str {
        "proxies"
    }

    fn default_sizes(&self, quick: bool) -> &'static [u64] {
        if quick { &[10, 20, 40] } else { &[50, 150, 500, 1_500, 4_000] }
    }

    fn sample(&self, size: u64, options: &RunOptions) -> Result<Vec<Measurement>, ScaleError> {
        if !(1..=MAX_PROXIES).contains(&size) {
            return Err(ScaleError::ProxiesOutOfBounds { min: 1, max: MAX_PROXIES });
        }
        Ok(measurements(&measure(&self.plan(size, options))?, size))
    }
}

/// One fleet's rows: rates and bytes for each proxy, the controller's own in total.
fn measurements(traffic: &ReleaseTraffic, size: u64) -> Vec<Measurement> {
    let mut rows = Vec::new();
    let mut row = |quantity: &str, unit, value| rows.push(Measurement::new(quantity, unit, size, value));
    for (name, phase) in [("rest", &traffic.rest), ("trial", &traffic.trial)] {
        let watch_bytes = phase.rate(phase.counts.watch_bytes) / traffic.proxies as f64;
        row(&format!("{name}: watch, bytes to a proxy"), Unit::BytesPerSecond, watch_bytes);
        row(&format!("{name}: watches lost"), Unit::Count, phase.counts.lost_watches as f64);
        let cores = phase.controller_seconds / phase.seconds;
        row(&format!("{name}: controller"), Unit::Cores, cores);
    }
    let trial = &traffic.trial;
    let each = |count: u64| trial.rate(count) / traffic.proxies as f64;
    row("trial: votes of a proxy", Unit::PerSecond, each(trial.counts.votes));
    row("trial: vote, bytes from a proxy", Unit::BytesPerSecond, each(trial.counts.vote_bytes));
    row("trial: vote, bytes to a proxy", Unit::BytesPerSecond, each(trial.counts.reply_bytes));
    row("trial: votes that count", Unit::PerSecond, trial.rate(trial.counts.accepted));
    row("trial: votes over the allowance", Unit::PerSecond, trial.rate(trial.counts.rate_limited));
    row("trial: votes without a reply", Unit::PerSecond, trial.rate(trial.counts.failed));
    row("trial: vote to reply, p50", Unit::Seconds, traffic.vote_times.p50_seconds);
    row("trial: vote to reply, p99", Unit::Seconds, traffic.vote_times.p99_seconds);
    row("offer to the news at the last proxy", Unit::Seconds, traffic.status_delay_seconds);
    row("proxies that watch at the end", Unit::Count, traffic.open_watches as f64);
    row("controller: resident memory", Unit::Bytes, traffic.controller_bytes as f64);
    rows
}
