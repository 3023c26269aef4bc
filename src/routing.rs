//! Routing: chooses the build and the server for an attempt.
//!
//! The build on trial receives requests in proportion to its share of the listed capacity. Within a build, a
//! few servers are drawn at random and the one with the lowest load is taken ("power of two choices").

use crate::balancer::Balancer;
use crate::interface::{Build, Micros, Phase, RequestId, ServerId, ServerStatus};
use crate::state::{Candidate, InFlightRequest, LatencyEstimate, MAX_TRIAL_CREDIT, ServerRecord};

/// A server counts as stalled when it has not answered for this multiple of the typical latency.
const STALL_LATENCY_FACTOR: f64 = 4.0;
/// The weight of a stalled server is multiplied by this factor.
const STALLED_WEIGHT_FACTOR: f64 = 0.05;
/// The weight of a server that a request has already been sent to is multiplied by this factor.
const TRIED_WEIGHT_FACTOR: f64 = 0.01;
/// The least weight of a server, so that each one is tried now and then.
const MIN_WEIGHT: f64 = 1e-3;
/// At most this many further pairs are drawn while the better server is busier than the mean of the pool.
const MAX_REDRAWS: usize = 3;
/// A key that occurs more often than this multiple of the mean of all keys is popular: it is not among the
/// first to be sent to a build on trial.
const POPULAR_KEY_RATIO: f64 = 3.0;
/// The trial credit does not fall below this value.
const MIN_TRIAL_CREDIT: f64 = -2.0;

/// The two pools that servers are drawn from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PoolKind {
    Stable,
    Trial,
}

/// Whether servers of a build may take a request, and the pool that they belong to.
struct BuildAdmission {
    build: Build,
    kind: PoolKind,
    admits: bool,
}

/// The servers of one pool that may take a request, and the capacity of the pool.
#[derive(Default)]
struct Pool {
    candidates: Vec<Candidate>,
    /// The sum of the warm fractions of the ready servers that the request may be sent to without taking
    /// effect twice, whether or not their build admits it.
    warm_capacity: f64,
}

/// The stable pool and the trial pool for one request.
#[derive(Default)]
struct Pools {
    stable: Pool,
    trial: Pool,
}

impl Pools {
    fn pool_mut(&mut self, kind: PoolKind) -> &mut Pool {
        match kind {
            PoolKind::Stable => &mut self.stable,
            PoolKind::Trial => &mut self.trial,
        }
    }

    fn total_weight(&self) -> f64 {
        let candidates = self.stable.candidates.iter().chain(&self.trial.candidates);
        candidates.map(|candidate| candidate.weight).sum()
    }
}

impl Balancer {
    /// Chooses a server for a request's next attempt; `None` if no server may take it now.
    pub(crate) fn pick_server(&mut self, now: Micros, id: RequestId) -> Option<ServerId> {
        if !self.may_send(now) {
            return None;
        }
        let request = self.state.requests.get(&id)?.clone();
        // Only first attempts earn and take the trial build's turns. The design page: "First tries go to
        // the new build at its share of listed machines, rising with warmth".
        let first_attempt = request.attempts.is_empty();
        let just_arrived = request.arrived == now;
        let mut pools = self.collect_pools(now, &request);
        let total_weight = pools.total_weight();
        // A waiting request has already had its random chance of a server in slow start. Drawing again at
        // each check would in the end always succeed.
        let chance_already_drawn = request.attempts_in_flight() == 0 && request.waiting_since < now;
        self.limit_slow_start(now, &request, &mut pools.stable, total_weight, chance_already_drawn);
        self.limit_slow_start(now, &request, &mut pools.trial, total_weight, chance_already_drawn);
        let rolling_back = self.state.release.is_some_and(|release| release.phase == Phase::RollingBack);
        if first_attempt && just_arrived && pools.trial.warm_capacity > 0.0 && !rolling_back {
            self.earn_trial_credit(&pools);
        }
        let trial_is_due = first_attempt && !rolling_back && self.trial_is_due(&request);
        self.choose_from_pools(&mut pools, total_weight, trial_is_due, rolling_back)
    }

    /// Sorts the servers that may take this request into the two pools.
    fn collect_pools(&self, now: Micros, request: &InFlightRequest) -> Pools {
        let admission = |&build: &Build| BuildAdmission {
            build,
            kind: if self.on_trial(build) { PoolKind::Trial } else { PoolKind::Stable },
            admits: self.build_admits(now, build, request),
        };
        let admissions: Vec<BuildAdmission> = self.state.builds.iter().map(admission).collect();
        let known_medians = self.state.latencies.iter().filter_map(LatencyEstimate::known_median);
        let typical_latency = known_medians.max_by(f64::total_cmp);
        let mut pools = Pools::default();
        for (&id, server) in &self.state.servers {
            let ready = server.entry.status == ServerStatus::Ready;
            if !ready || !self.may_repeat(now, request, Some(&server.entry)) {
                continue;
            }
            let Some(admission) = admissions.iter().find(|admission| admission.build == server.entry.build)
            else {
                continue;
            };
            let warm_fraction = server.warm_fraction(now, &self.settings.rules);
            let pool = pools.pool_mut(admission.kind);
            pool.warm_capacity += warm_fraction;
            if admission.admits {
                let tried = request.attempts.iter().any(|attempt| attempt.to.id == id);
                let weight =
                    self.weight(now, server, typical_latency) * if tried { TRIED_WEIGHT_FACTOR } else { 1.0 };
                let in_flight = f64::from(server.in_flight);
                let unlimited_weight = weight;
                pool.candidates.push(Candidate { id, weight, in_flight, unlimited_weight, warm_fraction });
            }
        }
        pools
    }

    /// A server's weight in its pool: the product of its size and warm fraction, reduced by the failures,
    /// slowness and stalls that this balancer has observed.
    fn weight(&self, now: Micros, server: &ServerRecord, typical_latency: Option<f64>) -> f64 {
        let health = (1.0 - server.failure_share).powi(3) / server.slowness.max(1.0).powi(2);
        // A server with attempts in flight and no response for a long time is paused, unreachable or dead.
        // The cause does not matter.
        let waiting_for = now.saturating_sub(server.waiting_since) as f64;
        let long_without_answer =
            typical_latency.is_some_and(|typical| waiting_for > STALL_LATENCY_FACTOR * typical);
        let stalled = server.in_flight > 0 && long_without_answer;
        let warm_fraction = server.warm_fraction(now, &self.settings.rules);
        let capacity = server.size(self.settings.sizes_known) * warm_fraction;
        (capacity * health * if stalled { STALLED_WEIGHT_FACTOR } else { 1.0 }).max(MIN_WEIGHT)
    }

    /// Reduces the weight of servers in slow start to what their budget allows.
    fn limit_slow_start(
        &mut self,
        now: Micros,
        request: &InFlightRequest,
        pool: &mut Pool,
        total_weight: f64,
        chance_already_drawn: bool,
    ) {
        for candidate in &mut pool.candidates {
            if candidate.warm_fraction >= 1.0 {
                continue;
            }
            let share = self.slow_start_share(now, candidate.id, request.cost, chance_already_drawn);
            candidate.weight = candidate.weight.min(total_weight * share);
            // The reduction lowers the pool's capacity too. Otherwise the requests that a server in slow
            // start may not take would go to the warm servers of its build.
            let reduction = 1.0 - candidate.weight / candidate.unlimited_weight;
            pool.warm_capacity -= candidate.warm_fraction * reduction;
        }
    }

    /// Adds the credit that a new request earns for the build on trial: the build's share of the capacity.
    fn earn_trial_credit(&mut self, pools: &Pools) {
        let stable = pools.stable.warm_capacity;
        let trial = pools.trial.warm_capacity;
        // Where new servers run beside the ones that they replace, the capacity is counted only once, because
        // the new servers must show how they perform under full load.
        let capacity = if self.settings.rollout.in_place { stable + trial } else { stable.max(trial) };
        self.state.trial_credit = (self.state.trial_credit + trial / capacity).min(MAX_TRIAL_CREDIT);
    }

    /// Whether it is the trial build's turn to receive a first attempt. Popular keys are excluded: a key that
    /// the new build answers becomes sticky to it, and popular ones would concentrate on its few servers.
    fn trial_is_due(&self, request: &InFlightRequest) -> bool {
        let popularity = |key| self.state.sticky_keys.popularity.relative_to_mean(key);
        let popular = request.request.key.is_some_and(|key| popularity(key) > POPULAR_KEY_RATIO);
        self.state.trial_credit >= 1.0 && !popular
    }

    /// Takes a server from the pool whose turn it is, or else from the other pool.
    fn choose_from_pools(
        &mut self,
        pools: &mut Pools,
        total_weight: f64,
        trial_is_due: bool,
        rolling_back: bool,
    ) -> Option<ServerId> {
        let order = if trial_is_due {
            [PoolKind::Trial, PoolKind::Stable]
        } else {
            [PoolKind::Stable, PoolKind::Trial]
        };
        for kind in order {
            // A pool out of turn may be offered the whole traffic. This matters most for the first few
            // servers that come up in a rollback.
            let in_turn = match kind {
                PoolKind::Stable => !rolling_back,
                PoolKind::Trial => trial_is_due,
            };
            let candidates = std::mem::take(&mut pools.pool_mut(kind).candidates);
            if let Some(server) = self.choose_server(total_weight, in_turn, candidates) {
                self.settle_trial_credit(kind, trial_is_due);
                return Some(server);
            }
        }
        None
    }

    fn settle_trial_credit(&mut self, chosen: PoolKind, trial_is_due: bool) {
        if chosen == PoolKind::Trial {
            self.state.trial_credit = (self.state.trial_credit - 1.0).max(MIN_TRIAL_CREDIT);
        } else if trial_is_due {
            // The trial pool had no server for the request. If the credit were saved up, the turns of all
            // balancers would come in one burst.
            self.state.trial_credit = self.state.random.unit();
        }
    }

    /// Draws two servers at random and takes the one with fewer own attempts in flight for its weight.
    /// Further pairs are drawn while the better one is busier than the mean.
    fn choose_server(
        &mut self,
        total_weight: f64,
        in_turn: bool,
        mut candidates: Vec<Candidate>,
    ) -> Option<ServerId> {
        let offered_weight = if in_turn {
            candidates.iter().map(|candidate| candidate.unlimited_weight).sum()
        } else {
            total_weight
        };
        candidates.retain(|candidate| candidate.weight > 0.0);
        let limited_weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        // When almost all servers that are left are in slow start, most requests must not be sent now.
        let warming_up = candidates.iter().any(|candidate| candidate.warm_fraction < 1.0);
        if limited_weight <= 0.0
            || (warming_up && self.state.random.unit() * offered_weight > 2.0 * limited_weight)
        {
            return None;
        }
        let in_flight: f64 = candidates.iter().map(|candidate| candidate.in_flight).sum();
        let mean_load = (in_flight + 1.0) / limited_weight;
        let mut best: Option<(ServerId, f64)> = None;
        for draw in 0..2 + 2 * MAX_REDRAWS {
            let starts_further_pair = draw >= 2 && draw % 2 == 0;
            if starts_further_pair && best.is_some_and(|(_, load)| load <= mean_load) {
                break;
            }
            let weights = candidates.iter().map(|candidate| candidate.weight);
            let candidate = candidates.get(self.state.random.weighted(limited_weight, weights))?;
            let load = candidate.load();
            if best.is_none_or(|(_, least_load)| load < least_load) {
                best = Some((candidate.id, load));
            }
        }
        best.map(|(server, _)| server)
    }
}
