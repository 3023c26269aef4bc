//! The state of a balancer, without decisions.
//!
//! A process that takes over gets it in a positional encoding: fields keep their order, and new ones go to the
//! end (`tests/stored_module.rs` of the proxy package opens a stored one).

mod analysis;
mod exposure_counter;
mod latency;
mod random;
mod request;
mod server;
mod sliding_sum;
mod sticky_keys;

pub use analysis::{AnalysisState, Vote};
pub use exposure_counter::ExposureCounter;
pub use latency::LatencyEstimate;
pub use random::RandomSource;
pub use request::{Attempt, InFlightRequest};
pub use server::{Candidate, ServerRecord};
pub use sliding_sum::{SlidingSum, smooth};
pub use sticky_keys::{KeyPopularity, MAX_STICKY_KEYS, StickyKeys};

use crate::interface::{
    Build, ListKind, Micros, Phase, ReleaseStatus, RequestId, ServerEntry, ServerId, ServerStatus,
    ServiceRules,
};
use std::collections::{BTreeMap, BTreeSet};

/// First attempts at the build on trial that may be saved up.
pub(crate) const MAX_TRIAL_CREDIT: f64 = 2.0;

/// Requests of one class and one tenant, whose lateness is counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Lane {
    /// The class.
    pub class: usize,
    /// The tenant; one past the last for requests without one.
    pub tenant: usize,
}

/// What is known of the server list itself.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ListState {
    /// When the list was last heard of.
    pub heard_at: Micros,
    /// When to call for the list again.
    pub retry_at: Option<Micros>,
    /// Until when the list may be used, where a lease limits that. Not handed over: the next process calls anew.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub lease_until: Option<Micros>,
    /// Failed list calls in a row.
    pub failures: u32,
}

/// The cap of a stage before it was lowered.
#[derive(Clone, Copy, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct PreviousCap {
    /// The cap, 0 to 1.
    pub cap: f64,
    /// When the lower one came.
    pub lowered_at: Micros,
}

/// Sizes of the servers that take requests, added up.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadySizes {
    /// Of those that are warm.
    pub warm: f64,
    /// Of all.
    pub all: f64,
}

/// What a started attempt needs to know of its request.
#[derive(Clone, Copy, Debug)]
pub struct StartedAttempt {
    /// Its number.
    pub attempt: usize,
    /// The request's class.
    pub class: usize,
    /// The request's deadline.
    pub deadline: Micros,
}

/// All that a balancer remembers; what to do with it is decided elsewhere.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct BalancerState {
    /// The random source.
    pub random: RandomSource,
    /// The first event has come.
    pub started: bool,
    /// Servers listed, and those that have left with attempts in flight.
    pub servers: BTreeMap<ServerId, ServerRecord>,
    /// Requests in flight.
    pub requests: BTreeMap<RequestId, InFlightRequest>,
    /// When to check which request.
    pub checks: BTreeSet<(Micros, RequestId)>,
    /// Latency by class.
    pub latencies: Vec<LatencyEstimate>,
    /// Retries and hedges saved up.
    pub retry_budget: f64,
    /// Cost of answers by warm servers.
    pub served_cost: SlidingSum,
    /// Cost a second that a warm server of size 1 is seen to carry.
    pub warm_rate: f64,
    /// First attempts that the build on trial has earned.
    pub trial_credit: f64,
    /// Cost of requests taken.
    pub offered_cost: SlidingSum,
    /// Smoothed share of late answers, 0 to 1.
    pub late_share: f64,
    /// The same by class and tenant.
    pub late_share_by_lane: BTreeMap<Lane, f64>,
    /// When the next maintenance is due.
    pub next_maintenance: Micros,
    /// When the earliest timer that is set is due.
    pub timer_due: Micros,
    /// Drawn at the start, so that peers can tell one incarnation from another.
    pub incarnation: u8,
    /// Builds of the servers that take requests, in order.
    pub builds: Vec<Build>,
    /// The server list itself.
    pub list: ListState,
    /// The release of the newest build.
    pub release: Option<ReleaseStatus>,
    /// The cap before the present one.
    pub previous_cap: PreviousCap,
    /// Attempts at builds on trial, by build and counted class.
    pub exposures: BTreeMap<Build, Vec<ExposureCounter>>,
    /// Keys that are sticky to the newest build.
    pub sticky_keys: StickyKeys,
    /// The analysis of the newest build.
    pub analysis: AnalysisState,
    /// Lines written to the log.
    pub log_lines: u32,
    /// Nothing is sent from then on, once the process shuts down. Not handed over.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub shutdown_at: Option<Micros>,
}

impl BalancerState {
    /// Forgets all requests in flight, their attempts and checks, and restarts the random source. Keys that are
    /// in flight at the newest build count as answered by it: the answers go to the process that has the
    /// requests.
    pub fn leave_requests(&mut self, seed: u64) {
        let live_build = match self.release {
            Some(release) if matches!(release.phase, Phase::Trial | Phase::Released) => Some(release.build),
            _ => None,
        };
        for request in self.requests.values() {
            let mut attempts = request.attempts.iter();
            let at_live_build =
                attempts.any(|attempt| attempt.ended.is_none() && Some(attempt.to.build) == live_build);
            if let Some(key) = request.request.key
                && at_live_build
            {
                self.sticky_keys.bind(key);
            }
        }
        self.requests.clear();
        self.checks.clear();
        for server in self.servers.values_mut() {
            server.in_flight = 0;
        }
        self.timer_due = 0;
        self.analysis.pending_vote = None;
        self.random = RandomSource(seed);
    }

    /// Records an attempt at a server; `None` for an unknown request or server.
    pub fn start_attempt(
        &mut self,
        now: Micros,
        id: RequestId,
        to: ServerEntry,
        warming_up: bool,
    ) -> Option<StartedAttempt> {
        let request = self.requests.get_mut(&id)?;
        let server = self.servers.get_mut(&to.id)?;
        if server.in_flight == 0 {
            server.waiting_since = now;
        }
        server.in_flight += 1;
        request.attempts.push(Attempt {
            to,
            warming_up,
            sent_at: now,
            concurrency: server.in_flight,
            exposed: false,
            ended: None,
        });
        Some(StartedAttempt {
            attempt: request.attempts.len() - 1,
            class: request.request.class,
            deadline: request.request.deadline,
        })
    }

    /// An attempt by its request and number.
    pub fn attempt_mut(&mut self, id: RequestId, number: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(&id)?.attempts.get_mut(number)
    }

    /// The request's answer has started to stream.
    pub fn stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }

    /// Drops a request of which nothing more will be heard.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.checks.remove(&(request.next_check, id));
        }
    }

    /// Sets when a request is checked again.
    pub fn schedule_check(&mut self, id: RequestId, at: Micros) {
        if let Some(request) = self.requests.get_mut(&id) {
            self.checks.remove(&(request.next_check, id));
            request.next_check = at;
            self.checks.insert((at, id));
        }
    }

    /// Takes the next request whose check is due.
    pub fn next_check(&mut self, now: Micros) -> Option<RequestId> {
        let &(at, id) = self.checks.first()?;
        if at > now {
            return None;
        }
        self.checks.pop_first();
        Some(id)
    }

    /// Counts a line for the log; `false` once `max_lines` have been written.
    pub fn may_log(&mut self, max_lines: u32) -> bool {
        self.log_lines = self.log_lines.saturating_add(1);
        self.log_lines <= max_lines
    }

    /// The counter of attempts at a build: one for all classes, or one for each.
    pub fn exposure_of(&mut self, build: Build, class: usize, per_class: bool) -> &mut ExposureCounter {
        let lane = if per_class { class } else { 0 };
        let lanes = self.exposures.entry(build).or_default();
        if lanes.len() <= lane {
            lanes.resize(lane + 1, ExposureCounter::default());
        }
        &mut lanes[lane]
    }

    /// The sizes of the servers that take requests.
    pub fn ready_sizes(&self, now: Micros, rules: &ServiceRules, sizes_known: bool) -> ReadySizes {
        let mut sizes = ReadySizes::default();
        for server in self.servers.values() {
            if server.entry.status != ServerStatus::Ready {
                continue;
            }
            let size = server.size(sizes_known);
            let warm = server.warm_fraction(now, rules) >= 1.0;
            sizes.warm += if warm { size } else { 0.0 };
            sizes.all += size;
        }
        sizes
    }

    /// How many servers that take requests run a build.
    fn ready_with(&self, build: Option<Build>) -> usize {
        let entries = self.servers.values().map(|server| server.entry);
        entries.filter(|entry| entry.status == ServerStatus::Ready && Some(entry.build) == build).count()
    }

    /// Brings the servers up to date; a restart or another build under a known id clears its record. Whether
    /// more servers of the `watched` build take requests than before.
    pub fn apply_list(&mut self, kind: ListKind, entries: &[ServerEntry], watched: Option<Build>) -> bool {
        let before = self.ready_with(watched);
        if kind != ListKind::Delta {
            // A server absent from a full list has left.
            for server in self.servers.values_mut() {
                server.entry.status = ServerStatus::Removed;
            }
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        self.servers.retain(|_, server| server.entry.status != ServerStatus::Removed || server.in_flight > 0);
        let listed = self.servers.values().map(|server| server.entry);
        let ready = listed.filter(|entry| entry.status == ServerStatus::Ready);
        let builds: BTreeSet<Build> = ready.map(|entry| entry.build).collect();
        self.builds = builds.into_iter().collect();
        self.ready_with(watched) > before
    }

    fn apply_entry(&mut self, entry: &ServerEntry) {
        let server = self.servers.entry(entry.id).or_insert_with(|| ServerRecord::new(*entry));
        let known = &server.entry;
        if known.build != entry.build || known.started_at != entry.started_at {
            // Attempts in flight and what was sent lately still load the machine.
            let in_flight = server.in_flight;
            let sent_cost = std::mem::take(&mut server.sent_cost);
            *server = ServerRecord { in_flight, sent_cost, ..ServerRecord::new(*entry) };
        }
        server.entry = *entry;
    }
}
