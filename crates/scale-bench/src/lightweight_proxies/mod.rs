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

/// Longest span that a benchmark counts, in seconds.
const MAX_COUNTED_SECONDS: f64 = 60.0;
/// Most servers that are listed: what a proxy accepts.
const MAX_SERVERS: u64 = violetseam_site_protocol::endpoint_list::MAX_SERVERS as u64;

/// The span that is counted, in seconds: short in a quick run, bounded otherwise.
fn counted_seconds(quick: bool, quick_seconds: f64, seconds: f64) -> f64 {
    if quick { quick_seconds } else { seconds.clamp(1.0, MAX_COUNTED_SECONDS) }
}
