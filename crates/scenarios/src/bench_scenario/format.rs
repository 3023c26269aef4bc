//! The format of the scenario files that the operators' bench generates. Fields have the names of the bench
//! and, unless stated otherwise, its units: times are in microseconds, work is in microseconds of a standard
//! core. Fields that are not needed to play a file over sockets are left out.

use serde::Deserialize;

/// A scenario file.
#[derive(Deserialize)]
pub(super) struct BenchFile {
    pub site: String,
    pub family: String,
    pub length: u64,
    pub noise: u64,
    pub zones: Vec<String>,
    pub entry: String,
    pub front_notice: u64,
    pub traffic: BenchTraffic,
    pub clients: BenchClients,
    pub discovery: BenchDiscovery,
    pub allow: BenchAllowances,
    pub drain_grace: u64,
    pub fall_multiple: f64,
    pub fall_for: u64,
    pub classes: Vec<BenchClass>,
    pub tenants: Vec<BenchTenant>,
    pub tiers: Vec<BenchTier>,
    pub servers: Vec<BenchServer>,
    #[serde(rename = "balancers")]
    pub proxies: Vec<BenchProxy>,
    #[serde(rename = "troubles")]
    pub faults: Vec<BenchFault>,
    #[serde(rename = "fam")]
    pub rollout: BenchRollout,
}

/// The request rate over time, and the keys of the requests.
#[derive(Deserialize)]
pub(super) struct BenchTraffic {
    pub load: f64,
    pub shape: Vec<(f64, f64)>,
    pub keys: u64,
    pub key_zipf: f64,
    pub hint_cv: f64,
}

/// The behavior of the clients.
#[derive(Deserialize)]
pub(super) struct BenchClients {
    pub retries: u32,
    pub try_share: f64,
    pub backoff: String,
    pub backoff_us: f64,
    pub honour: f64,
    pub impatient: f64,
}

/// Delays with which discovery lists changes.
#[derive(Deserialize)]
pub(super) struct BenchDiscovery {
    pub notice: u64,
    pub silent_notice: u64,
    pub add: u64,
}

/// Limits on retries and hedging by the proxies.
#[derive(Deserialize)]
pub(super) struct BenchAllowances {
    pub second_copies: bool,
    pub max_attempts: usize,
}

/// A request class.
#[derive(Deserialize)]
pub(super) struct BenchClass {
    pub name: String,
    pub share: f64,
    pub work: f64,
    pub cv: f64,
    pub aim: u64,
    pub deadline: u64,
    pub worth: f64,
    pub late_worth: f64,
    pub effect: String,
    pub group: String,
    pub window: u64,
    #[serde(default)]
    pub stream: bool,
}

/// A tenant and its share of the traffic.
#[derive(Deserialize)]
pub(super) struct BenchTenant {
    pub name: String,
    pub traffic: f64,
}

/// A tier of servers; only files with exactly one tier can be played.
#[derive(Deserialize)]
pub(super) struct BenchTier {
    pub kinds: Vec<BenchMachineKind>,
    pub stated_cold_from: f64,
    pub stated_cold: u64,
}

/// A machine kind: the hardware and limits that servers of this kind share.
#[derive(Deserialize)]
pub(super) struct BenchMachineKind {
    pub cores: f64,
    pub slots: usize,
    pub queue: usize,
    pub cold_from: f64,
    pub cold: u64,
    pub error_rate: f64,
    pub conn_cap_per_core: Option<f64>,
}

/// A server that either runs at the start or is a spare.
#[derive(Deserialize)]
pub(super) struct BenchServer {
    pub zone: u16,
    pub kind: usize,
    pub cell: u16,
    pub speed: f64,
    pub up: bool,
}

/// A proxy.
#[derive(Deserialize)]
pub(super) struct BenchProxy {
    pub zone: u16,
    pub weight: f64,
}

/// An injected fault.
#[derive(Deserialize)]
pub(super) struct BenchFault {
    pub kind: String,
    pub at: u64,
    pub len: u64,
    pub size: f64,
    pub extra: f64,
    pub on: Vec<usize>,
    pub which: usize,
}

/// A build that is offered.
#[derive(Deserialize)]
pub(super) struct BenchRelease {
    pub at: u64,
    pub bad: String,
    pub class: usize,
    pub speed: f64,
    pub strength: f64,
}

/// The rollout of builds.
#[derive(Deserialize)]
pub(super) struct BenchRollout {
    pub control: String,
    pub beside: bool,
    pub stages: Vec<f64>,
    pub caps: Vec<f64>,
    pub votes: [f64; 3],
    pub vote_life: u64,
    pub bake: u64,
    pub step: u64,
    pub boot: u64,
    pub drain: u64,
    pub push: u64,
    pub told_late: u64,
    pub call: f64,
    pub call_timeout: u64,
    pub calls_per_s: f64,
    pub flag_share: f64,
    pub flag_late: u64,
    pub false_flags: f64,
    pub guarded: u8,
    pub one_way: bool,
    pub window: u64,
    pub free: f64,
    pub by_class: bool,
    pub first_build: u16,
    pub releases: Vec<BenchRelease>,
}
