//! The state of a balancer. Nothing is decided here.
//!
//! In a takeover the state is handed to the new process in a positional encoding. Fields must therefore keep
//! their order, and new fields must be added at the end. `tests/stored_module.rs` of the proxy package checks
//! this by reading a stored state.

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

/// Maximum number of first attempts at the build on trial that can be saved up.
pub(crate) const MAX_TRIAL_CREDIT: f64 = 2.0;

/// A lane: the requests of one class and one tenant. What servers leave unanswered is counted for
/// each lane separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Lane {
    /// Request class.
    pub class: usize,
    /// Index of the tenant. Requests without a known tenant have the index after the last one.
    pub tenant: usize,
}

/// How long the clients of a class wait for a response, as their requests say.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientTime {
    /// Smoothed time from a request's arrival to its deadline, in microseconds.
    pub given: f64,
    /// Smoothed share of the class among all requests, 0 to 1.
    pub request_share: f64,
}

/// State of the server list itself.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ListState {
    /// Time at which the list or a change to it was last received or called for.
    pub heard_at: Micros,
    /// Time at which to call for the list again.
    pub retry_at: Option<Micros>,
    /// Time until which the list may be used, if a lease limits its use. It is not handed over in a takeover,
    /// because the new process calls for the list itself.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub lease_until: Option<Micros>,
    /// Number of consecutive failed calls for the list.
    pub failures: u32,
}

/// The exposure cap that applied before the cap was lowered.
#[derive(Clone, Copy, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct PreviousCap {
    /// The earlier, higher cap, 0 to 1.
    pub cap: f64,
    /// Time at which the lower cap was announced.
    pub lowered_at: Micros,
}

/// Total size of the servers that take requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadySizes {
    /// Total size of the warm servers.
    pub warm: f64,
    /// Total size of all servers that take requests.
    pub all: f64,
}

/// An attempt that has just been started, with the properties of its request that are needed to send it.
#[derive(Clone, Copy, Debug)]
pub struct StartedAttempt {
    /// Number of the attempt.
    pub attempt: usize,
    /// Class of the request.
    pub class: usize,
    /// Deadline of the request.
    pub deadline: Micros,
}

/// The whole state of a balancer. The modules that decide use it, and it makes no decisions itself.
#[derive(Clone, Debug, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct BalancerState {
    /// Random number generator.
    pub random: RandomSource,
    /// Whether the first event has arrived.
    pub started: bool,
    /// Servers in the list, and servers that have left the list but still have attempts in flight.
    pub servers: BTreeMap<ServerId, ServerRecord>,
    /// Requests in flight.
    pub requests: BTreeMap<RequestId, InFlightRequest>,
    /// Times at which requests have to be checked again.
    pub checks: BTreeSet<(Micros, RequestId)>,
    /// Latency estimate of each class.
    pub latencies: Vec<LatencyEstimate>,
    /// Retry budget: the number of retries and hedges that can be spent.
    pub retry_budget: f64,
    /// Cost of the requests that warm servers have served.
    pub served_cost: SlidingSum,
    /// Estimated cost per second that a warm server of size 1 serves for this balancer.
    #[cfg_attr(feature = "serde", serde(rename = "warm_rate"))]
    pub warm_capacity_rate: f64,
    /// Number of first attempts that the build on trial is due. It may be negative.
    pub trial_credit: f64,
    /// Cost of the requests that arrived.
    pub offered_cost: SlidingSum,
    /// Smoothed share of attempts that no server answered in their client's time, 0 to 1.
    #[cfg_attr(feature = "serde", serde(rename = "late_share"))]
    pub unanswered_share: f64,
    /// The same share in each lane.
    #[cfg_attr(feature = "serde", serde(rename = "late_share_by_lane"))]
    pub unanswered_share_by_lane: BTreeMap<Lane, f64>,
    /// Time at which the next maintenance is due.
    pub next_maintenance: Micros,
    /// Time at which the earliest timer that has been set expires.
    pub timer_due: Micros,
    /// Incarnation of this balancer. It is drawn at random at the start, so that peers can tell incarnations
    /// apart.
    pub incarnation: u8,
    /// Builds of the servers that take requests, in ascending order.
    pub builds: Vec<Build>,
    /// State of the server list itself.
    pub list: ListState,
    /// Release status of the newest build.
    pub release: Option<ReleaseStatus>,
    /// Exposure cap before the current one.
    pub previous_cap: PreviousCap,
    /// Counters of attempts at builds on trial, by build. Each build has one counter for all classes or one
    /// per class.
    pub exposures: BTreeMap<Build, Vec<ExposureCounter>>,
    /// Keys that are sticky to the newest build.
    pub sticky_keys: StickyKeys,
    /// Analysis of the newest build.
    pub analysis: AnalysisState,
    /// Number of lines written to the log.
    pub log_lines: u32,
    /// Time from which nothing is sent because the process shuts down. It is not handed over in a takeover.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub shutdown_at: Option<Micros>,
    /// How long clients of each class wait; empty before the first request. It is not handed over in a takeover,
    /// because the first requests show it again.
    #[cfg_attr(feature = "serde", serde(skip))]
    pub client_times: Vec<ClientTime>,
}

impl BalancerState {
    /// Prepares the state for a process that takes over: drops all requests in flight with their attempts and
    /// checks, and reseeds the random number generator. Keys that are in flight at the newest build count as
    /// answered by it, because their responses go to the process that keeps the requests.
    pub fn drop_requests_for_hand_over(&mut self, seed: u64) {
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

    /// Records the start of an attempt at a server. Returns `None` if the request or the server is unknown.
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

    /// Returns an attempt by its request and number.
    pub fn attempt_mut(&mut self, id: RequestId, number: usize) -> Option<&mut Attempt> {
        self.requests.get_mut(&id)?.attempts.get_mut(number)
    }

    /// Records that the response to a request has started to stream.
    pub fn stream_started(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.streaming = true;
        }
    }

    /// Drops a request and its pending check once no further events are expected for it.
    pub fn forget(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.checks.remove(&(request.next_check, id));
        }
    }

    /// Sets the time at which a request is checked again.
    pub fn schedule_check(&mut self, id: RequestId, at: Micros) {
        if let Some(request) = self.requests.get_mut(&id) {
            self.checks.remove(&(request.next_check, id));
            request.next_check = at;
            self.checks.insert((at, id));
        }
    }

    /// Schedules a check now for each request that waits for a server.
    pub fn check_waiting_requests(&mut self, now: Micros) {
        let waits = |request: &InFlightRequest| !request.done && request.attempts_in_flight() == 0;
        let waiting: Vec<RequestId> =
            self.requests.iter().filter(|(_, request)| waits(request)).map(|(&id, _)| id).collect();
        for id in waiting {
            self.schedule_check(id, now);
        }
    }

    /// Removes the checks that are due, and returns their requests in the order of their deadlines.
    pub fn take_due_checks(&mut self, now: Micros) -> Vec<RequestId> {
        let later = self.checks.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut self.checks, later);
        let deadline = |id| self.requests.get(&id).map_or(Micros::MAX, |request| request.request.deadline);
        let mut by_deadline: Vec<_> = due.into_iter().map(|(_, id)| (deadline(id), id)).collect();
        by_deadline.sort_unstable();
        by_deadline.into_iter().map(|(_, id)| id).collect()
    }

    /// Counts a log line. Returns `false` if `max_lines` lines have already been written.
    pub fn may_log(&mut self, max_lines: u32) -> bool {
        self.log_lines = self.log_lines.saturating_add(1);
        self.log_lines <= max_lines
    }

    /// Returns the counter of attempts at a build, which is created if necessary: the one for the class if
    /// `per_class` is set, otherwise the one for all classes.
    pub fn exposure_counter_mut(
        &mut self,
        build: Build,
        class: usize,
        per_class: bool,
    ) -> &mut ExposureCounter {
        let counter_index = if per_class { class } else { 0 };
        let counters = self.exposures.entry(build).or_default();
        if counters.len() <= counter_index {
            counters.resize(counter_index + 1, ExposureCounter::default());
        }
        &mut counters[counter_index]
    }

    /// Returns the total size of the servers that take requests.
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

    /// Returns how many of the servers that take requests run a build.
    fn ready_count(&self, build: Option<Build>) -> usize {
        let entries = self.servers.values().map(|server| server.entry);
        entries.filter(|entry| entry.status == ServerStatus::Ready && Some(entry.build) == build).count()
    }

    /// Applies a server list or changes to it. The record of a server that has restarted or runs another
    /// build is cleared. Returns whether more servers of the `watched` build take requests than before.
    pub fn apply_list(&mut self, kind: ListKind, entries: &[ServerEntry], watched: Option<Build>) -> bool {
        let ready_before = self.ready_count(watched);
        if kind != ListKind::Delta {
            // A server that is missing from a full list has left.
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
        self.ready_count(watched) > ready_before
    }

    fn apply_entry(&mut self, entry: &ServerEntry) {
        let server = self.servers.entry(entry.id).or_insert_with(|| ServerRecord::new(*entry));
        let previous = &server.entry;
        if previous.build != entry.build || previous.started_at != entry.started_at {
            // Attempts in flight and requests sent recently still put load on the server.
            let in_flight = server.in_flight;
            let sent_cost = std::mem::take(&mut server.sent_cost);
            *server = ServerRecord { in_flight, sent_cost, ..ServerRecord::new(*entry) };
        }
        server.entry = *entry;
    }
}
