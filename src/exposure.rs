//! Exposure: decides which requests may go to a build on trial, given its exposure cap and the sticky keys.

use crate::attempts::MAX_ATTEMPTS_PER_KEY;
use crate::balancer::Balancer;
use crate::event_loop::MAINTENANCE_INTERVAL;
use crate::interface::{Build, Idempotency, Micros, Phase};
use crate::state::{Attempt, InFlightRequest};

/// Tolerance for rounding errors when an exposure count is compared with its limit.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl Balancer {
    /// Whether a build is on trial as far as this balancer knows: the newest build unless it is released, and
    /// any later build in the server list.
    pub(crate) fn on_trial(&self, build: Build) -> bool {
        match self.state.release {
            Some(release) => {
                build > release.build || (build == release.build && release.phase != Phase::Released)
            }
            // No release is known yet: only the lowest listed build is certainly not on trial.
            None => self.state.builds.first().is_some_and(|&lowest| build > lowest),
        }
    }

    /// The exposure cap that applies to a build now, from 0 to 1.
    pub(crate) fn cap(&self, now: Micros, build: Build) -> f64 {
        let Some(release) = self.state.release.filter(|release| release.build == build) else {
            return self.settings.rollout.stage_caps.first().copied().unwrap_or(0.0);
        };
        // A lowered cap applies only after a grace period. Until then the previous cap applies, so that
        // servers of the earlier build have time to start.
        let previous = self.state.previous_cap;
        let grace = self.settings.rules.drain_grace.saturating_sub(self.cap_grace_margin());
        if now < previous.lowered_at + grace { release.cap.max(previous.cap) } else { release.cap }
    }

    /// Whether the rules allow this request to go to this build now.
    pub(crate) fn build_admits(&self, now: Micros, build: Build, request: &InFlightRequest) -> bool {
        if let Some(key) = request.request.key
            && self.settings.rollout.sticky_to_new_build
            && !self.build_admits_key(now, build, key)
        {
            return false;
        }
        !self.on_trial(build) || self.trial_admits(now, build, request)
    }

    fn build_admits_key(&self, now: Micros, build: Build, key: u64) -> bool {
        let newest_build = self.state.release.map_or(0, |release| release.build);
        let sticky = self.key_is_sticky(now, key);
        // A released build may receive every key, because no key has to go to any other build.
        let released = self.state.release.is_some_and(|release| release.phase == Phase::Released);
        let to_newest_build = build == newest_build;
        let cannot_remember_key =
            !sticky && to_newest_build && !released && !self.state.sticky_keys.has_room_for(key);
        let sticky_to_later_build = sticky && build < newest_build;
        // A build that is not announced yet receives no keys: its answers would make them sticky without this
        // balancer noticing.
        let unannounced = build > newest_build;
        !sticky_to_later_build && !cannot_remember_key && !unannounced
    }

    /// Whether the newest build has answered a key, or may have answered it. An attempt that was sent there
    /// makes its key sticky one maintenance interval later, whether or not it has been answered.
    fn key_is_sticky(&self, now: Micros, key: u64) -> bool {
        let first_sent = self.state.sticky_keys.first_in_flight(key);
        let sent_a_while_ago = first_sent.is_some_and(|sent_at| now >= sent_at + MAINTENANCE_INTERVAL);
        sent_a_while_ago || self.state.sticky_keys.overflowed || self.state.sticky_keys.is_bound(key)
    }

    fn trial_admits(&self, now: Micros, build: Build, request: &InFlightRequest) -> bool {
        let rollout = &self.settings.rollout;
        let build_release = self.state.release.filter(|release| release.build == build);
        let stage = build_release.map_or(0, |release| release.stage);
        let class = &self.settings.classes[request.request.class];
        let idempotent = class.idempotency == Idempotency::Idempotent;
        if stage < rollout.idempotent_only_stages && !idempotent {
            return false;
        }
        let window = rollout.exposure_window + self.exposure_window_margin();
        let counter_index = if rollout.exposure_per_class { request.request.class } else { 0 };
        let counter = self.state.exposures.get(&build).and_then(|counters| counters.get(counter_index));
        let max_excess = counter.map_or(1.0, |counter| counter.max_excess_after_attempt(now, window));
        self.cap(now, build) > 0.0 && max_excess <= rollout.exposure_slack + ROUNDING_TOLERANCE
    }

    /// Makes keys sticky whose attempt is in flight at a server that has been relisted with the newest build.
    /// The attempt was sent while the server ran the build before, but its answer counts as the newest
    /// build's.
    pub(crate) fn bind_relisted_keys(&mut self) {
        let Some(release) = self.state.release else { return };
        if !self.settings.rollout.sticky_to_new_build {
            return;
        }
        let relisted = |attempt: &&Attempt| {
            let listed_build = self.state.servers.get(&attempt.to.id).map(|server| server.entry.build);
            attempt.ended.is_none()
                && attempt.to.build != release.build
                && listed_build == Some(release.build)
        };
        let mut sent_keys: Vec<(u64, Micros)> = Vec::new();
        for request in self.state.requests.values() {
            let Some(key) = request.request.key else { continue };
            sent_keys.extend(request.attempts.iter().filter(relisted).map(|attempt| (key, attempt.sent_at)));
        }
        for (key, sent_at) in sent_keys {
            // The send time is moved back by one maintenance interval so that the key is sticky at once.
            let counted_from = sent_at.saturating_sub(MAINTENANCE_INTERVAL);
            self.state.sticky_keys.record_sent(key, counted_from, MAX_ATTEMPTS_PER_KEY);
        }
    }
}
