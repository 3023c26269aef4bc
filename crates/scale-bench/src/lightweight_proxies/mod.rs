//! Control traffic of large fleets, measured with lightweight proxies: the product's code without clients,
//! servers and, where it is not measured, without sockets. The subcommands call them hollow.
//!
//! The fleets: [`engine_fleet`] has engines alone, [`threads`] whole proxies as threads, [`idle_processes`]
//! whole processes. The control plane: [`registry`] on a thread, [`controller`] as a process. The benchmarks:
//! [`evidence`], [`endpoint_list`], [`release`] and [`idle_processes`].

pub mod controller;
pub mod endpoint_list;
pub mod engine_fleet;
pub mod evidence;
pub mod idle_processes;
pub mod registry;
pub mod release;
pub mod threads;

use crate::ScaleError;
use std::time::Duration;

/// Longest span that a benchmark counts, in seconds.
const MAX_COUNTED_SECONDS: f64 = 60.0;
/// Most servers that are listed: what a proxy accepts.
const MAX_SERVERS: u64 = violetseam_site_protocol::endpoint_list::MAX_SERVERS as u64;

/// The fleet of one size, where sizes may count proxies or servers.
struct FleetSize {
    proxies: usize,
    servers: usize,
}

impl FleetSize {
    /// `size` counts servers if the number of `proxies` is given, else proxies, each with a list of `servers`.
    ///
    /// # Errors
    /// [`ScaleError::FleetOutOfBounds`] if there are none of either, or too many.
    fn new(
        size: u64,
        servers: u64,
        proxies: Option<u64>,
        limit: FleetLimit,
    ) -> Result<FleetSize, ScaleError> {
        let (proxies, servers) = match proxies {
            Some(proxies) => (proxies, size),
            None => (size, servers),
        };
        let FleetLimit { unit, max_proxies } = limit;
        if !(1..=max_proxies).contains(&proxies) || !(1..=MAX_SERVERS).contains(&servers) {
            return Err(ScaleError::FleetOutOfBounds { unit, max_proxies, max_servers: MAX_SERVERS });
        }
        Ok(FleetSize { proxies: proxies as usize, servers: servers as usize })
    }
}

/// How many proxies a benchmark accepts.
struct FleetLimit {
    /// What the benchmark calls a proxy, in the plural.
    unit: &'static str,
    max_proxies: u64,
}

/// The span that is counted: short in a quick run, bounded otherwise.
fn counted_span(quick: bool, quick_seconds: f64, seconds: f64) -> Duration {
    let seconds = if quick { quick_seconds } else { seconds.clamp(1.0, MAX_COUNTED_SECONDS) };
    Duration::from_secs_f64(seconds)
}
