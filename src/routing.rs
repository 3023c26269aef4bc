//! Routing: which build and which server get an attempt.
//!
//! The trial build gets requests by its share of the listed capacity; within a build the server with the
//! lower load of a few random choices is taken ("power of two choices").

use crate::balancer::Balancer;
use crate::interface::{Build, Micros, Phase, RequestId, ServerId, ServerStatus};
use crate::state::{Candidate, InFlightRequest, MAX_TRIAL_CREDIT, ServerRecord};

/// Times the typical latency without any answer: the server may be standing still.
const STALL_FACTOR: f64 = 4.0;
/// Weight that a server with a stall is left with.
const STALLED_WEIGHT: f64 = 0.05;
/// Weight that a server is left with for a request that it was tried for before.
const TRIED_WEIGHT: f64 = 0.01;
/// The least weight of a server, so that each is tried at times.
const MIN_WEIGHT: f64 = 1e-3;
/// Further pairs drawn while the better server is busier than the pool's mean.
const MAX_REDRAWS: usize = 3;
/// Times the mean of all keys: such a popular key is not bound to a trial build early.
const POPULAR_KEY: f64 = 3.0;
/// Credit below which the trial build is not overdrawn.
const MIN_TRIAL_CREDIT: f64 = -2.0;

/// The two pools that servers are drawn from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PoolKind {
    Stable,
    Trial,
}

/// Whether servers of a build may take a request, and the pool that they are in.
struct Gate {
    build: Build,
    kind: PoolKind,
    admits: bool,
}

/// Servers of one kind that may take a request, and the capacity of all that are listed.
#[derive(Default)]
struct Pool {
    candidates: Vec<Candidate>,
    capacity_share: f64,
}

/// The stable and the trial pool for one request.
#[derive(Default)]
struct Pools {
    stable: Pool,
    trial: Pool,
}

impl Pools {
    fn of(&mut self, kind: PoolKind) -> &mut Pool {
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
    /// Chooses a server for a request's next attempt; `None`: none may take it now.
    pub(crate) fn pick_server(&mut self, now: Micros, id: RequestId) -> Option<ServerId> {
        if !self.may_send(now) {
            return None;
        }
        let request = self.state.requests.get(&id)?.clone();
        let first_attempt = request.attempts.is_empty();
        let just_arrived = request.arrived == now;
        let mut pools = self.collect_pools(now, &request);
        let total_weight = pools.total_weight();
        // A request that waits has had its chance: drawing at each check would add up to certainty.
        let chance_used = first_attempt && request.arrived < now;
        self.limit_slow_start(now, &request, &mut pools.stable, total_weight, chance_used);
        self.limit_slow_start(now, &request, &mut pools.trial, total_weight, chance_used);
        let rolling_back = self.state.release.is_some_and(|release| release.phase == Phase::RollingBack);
        if first_attempt && just_arrived && pools.trial.capacity_share > 0.0 && !rolling_back {
            self.earn_trial_credit(&pools);
        }
        let to_trial = first_attempt && !rolling_back && self.trial_is_due(&request);
        self.choose_pool(&mut pools, total_weight, to_trial, rolling_back)
    }

    /// Sorts the servers that may take this request into the two pools.
    fn collect_pools(&self, now: Micros, request: &InFlightRequest) -> Pools {
        let gate = |&build: &Build| Gate {
            build,
            kind: if self.on_trial(build) { PoolKind::Trial } else { PoolKind::Stable },
            admits: self.build_admits(now, build, request),
        };
        let gates: Vec<Gate> = self.state.builds.iter().map(gate).collect();
        let typical = self.state.latencies.iter().map(|latency| latency.median).fold(0.0, f64::max);
        let mut pools = Pools::default();
        for (&id, server) in &self.state.servers {
            let ready = server.entry.status == ServerStatus::Ready;
            if !ready || !self.may_repeat(now, request, Some(&server.entry)) {
                continue;
            }
            let Some(gate) = gates.iter().find(|gate| gate.build == server.entry.build) else { continue };
            let warm_fraction = server.warm_fraction(now, &self.settings.rules);
            let pool = pools.of(gate.kind);
            pool.capacity_share += warm_fraction;
            if gate.admits {
                let tried = request.attempts.iter().any(|attempt| attempt.to.id == id);
                let weight = self.weight(now, server, typical) * if tried { TRIED_WEIGHT } else { 1.0 };
                let in_flight = f64::from(server.in_flight);
                let unlimited_weight = weight;
                pool.candidates.push(Candidate { id, weight, in_flight, unlimited_weight, warm_fraction });
            }
        }
        pools
    }

    /// A server's weight in its pool: size and warm fraction, less what own outcomes say against it.
    fn weight(&self, now: Micros, server: &ServerRecord, typical: f64) -> f64 {
        let health = (1.0 - server.failure_share).powi(3) / server.slowness.max(1.0).powi(2);
        // Attempts in flight and no answer for long: paused, cut off or dead, whatever the cause.
        let silent = now.saturating_sub(server.waiting_since) as f64 > STALL_FACTOR * typical;
        let stalled = server.in_flight > 0 && silent;
        let warm_fraction = server.warm_fraction(now, &self.settings.rules);
        let capacity = server.size(self.settings.sizes_known) * warm_fraction;
        (capacity * health * if stalled { STALLED_WEIGHT } else { 1.0 }).max(MIN_WEIGHT)
    }

    /// Servers in slow start are left with the weight that their budget allows.
    fn limit_slow_start(
        &mut self,
        now: Micros,
        request: &InFlightRequest,
        pool: &mut Pool,
        total_weight: f64,
        chance_used: bool,
    ) {
        for candidate in &mut pool.candidates {
            if candidate.warm_fraction >= 1.0 {
                continue;
            }
            let share = self.slow_start_share(now, candidate.id, request.cost, chance_used);
            candidate.weight = candidate.weight.min(total_weight * share);
            // What a server in slow start may not take is no reason to send more to its build's warm ones.
            let cut = 1.0 - candidate.weight / candidate.unlimited_weight;
            pool.capacity_share -= candidate.warm_fraction * cut;
        }
    }

    /// Each new request earns the trial build its share of the listed capacity.
    fn earn_trial_credit(&mut self, pools: &Pools) {
        let stable = pools.stable.capacity_share;
        let trial = pools.trial.capacity_share;
        // Servers beside those that they replace count once: they must show what they do under load.
        let capacity = if self.settings.rollout.in_place { stable + trial } else { stable.max(trial) };
        self.state.trial_credit = (self.state.trial_credit + trial / capacity).min(MAX_TRIAL_CREDIT);
    }

    /// Whether a first attempt is the trial build's turn. A key that the new build answers is sticky to it:
    /// the popular ones would pile onto few servers.
    fn trial_is_due(&self, request: &InFlightRequest) -> bool {
        let popularity = |key| self.state.sticky_keys.popularity.of(key);
        let popular = request.request.key.is_some_and(|key| popularity(key) > POPULAR_KEY);
        self.state.trial_credit >= 1.0 && !popular
    }

    /// Takes a server from the pool whose turn it is, else from the other.
    fn choose_pool(
        &mut self,
        pools: &mut Pools,
        total_weight: f64,
        to_trial: bool,
        rolling_back: bool,
    ) -> Option<ServerId> {
        let order =
            if to_trial { [PoolKind::Trial, PoolKind::Stable] } else { [PoolKind::Stable, PoolKind::Trial] };
        for kind in order {
            // Out of turn a pool may be offered everything, above all the few first servers of a rollback.
            let in_turn = match kind {
                PoolKind::Stable => !rolling_back,
                PoolKind::Trial => to_trial,
            };
            let candidates = std::mem::take(&mut pools.of(kind).candidates);
            if let Some(server) = self.choose_server(total_weight, in_turn, candidates) {
                self.settle_trial_credit(kind, to_trial);
                return Some(server);
            }
        }
        None
    }

    fn settle_trial_credit(&mut self, chosen: PoolKind, to_trial: bool) {
        if chosen == PoolKind::Trial {
            self.state.trial_credit = (self.state.trial_credit - 1.0).max(MIN_TRIAL_CREDIT);
        } else if to_trial {
            // No room: saved up, the turns of all balancers would come in one burst.
            self.state.trial_credit = self.state.random.unit();
        }
    }

    /// Two random choices by own attempts in flight, drawn again while the better one is busier than the
    /// mean.
    fn choose_server(
        &mut self,
        total_weight: f64,
        in_turn: bool,
        mut candidates: Vec<Candidate>,
    ) -> Option<ServerId> {
        let offered = if in_turn {
            candidates.iter().map(|candidate| candidate.unlimited_weight).sum()
        } else {
            total_weight
        };
        candidates.retain(|candidate| candidate.weight > 0.0);
        let total: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        // Where hardly any but servers in slow start are left, most requests must go without.
        let warming_up = candidates.iter().any(|candidate| candidate.warm_fraction < 1.0);
        if total <= 0.0 || (warming_up && self.state.random.unit() * offered > 2.0 * total) {
            return None;
        }
        let in_flight: f64 = candidates.iter().map(|candidate| candidate.in_flight).sum();
        let mean_load = (in_flight + 1.0) / total;
        let mut best: Option<(ServerId, f64)> = None;
        for draw in 0..2 + 2 * MAX_REDRAWS {
            let pair_begins = draw >= 2 && draw % 2 == 0;
            if pair_begins && best.is_some_and(|(_, load)| load <= mean_load) {
                break;
            }
            let weights = candidates.iter().map(|candidate| candidate.weight);
            let candidate = candidates.get(self.state.random.weighted(total, weights))?;
            let load = candidate.load();
            if best.is_none_or(|(_, least)| load < least) {
                best = Some((candidate.id, load));
            }
        }
        best.map(|(server, _)| server)
    }
}
