//! Exposure: which requests may go to a build on trial, within its cap and its sticky keys.

use crate::attempts::MAX_ATTEMPTS_PER_KEY;
use crate::balancer::Balancer;
use crate::event_loop::MAINTENANCE_INTERVAL;
use crate::interface::{Build, Idempotency, Micros, Phase};
use crate::state::{Attempt, InFlightRequest};

/// Tolerance for rounding where an exposure count is compared with its bound.
const ROUNDING: f64 = 1e-9;

impl Balancer {
    /// Whether a build is on trial for this balancer: the newest one unless released, and any later one
    /// listed.
    pub(crate) fn on_trial(&self, build: Build) -> bool {
        match self.state.release {
            Some(release) => {
                build > release.build || (build == release.build && release.phase != Phase::Released)
            }
            // No release is known yet: only the lowest listed build is surely not on trial.
            None => self.state.builds.first().is_some_and(|&lowest| build > lowest),
        }
    }

    /// The exposure cap that binds for a build now, 0 to 1.
    pub(crate) fn cap(&self, now: Micros, build: Build) -> f64 {
        let Some(release) = self.state.release.filter(|release| release.build == build) else {
            return self.settings.rollout.stage_caps.first().copied().unwrap_or(0.0);
        };
        // A lower cap binds after the grace; until then the old one lets earlier servers come up.
        let previous = self.state.previous_cap;
        let grace = self.settings.rules.drain_grace.saturating_sub(self.cap_grace_margin());
        if now < previous.lowered_at + grace { release.cap.max(previous.cap) } else { release.cap }
    }

    /// Whether the rules let this request go to this build now.
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
        let newest = self.state.release.map_or(0, |release| release.build);
        let sticky = self.key_is_sticky(now, key);
        // A released build may have all keys, as nothing keyed has to go anywhere else.
        let released = self.state.release.is_some_and(|release| release.phase == Phase::Released);
        let to_newest = build == newest;
        let no_room = !sticky && to_newest && !released && !self.state.sticky_keys.has_room_for(key);
        let to_earlier = sticky && build < newest;
        // A build not announced yet gets no keys: its answers would bind them unnoticed.
        let not_announced = build > newest;
        !to_earlier && !no_room && !not_announced
    }

    /// Whether the newest build has answered a key, or may have: an attempt sent there counts soon after,
    /// answered or not.
    fn key_is_sticky(&self, now: Micros, key: u64) -> bool {
        let first_sent = self.state.sticky_keys.first_in_flight(key);
        let sent_a_while_ago = first_sent.is_some_and(|sent_at| now >= sent_at + MAINTENANCE_INTERVAL);
        sent_a_while_ago || self.state.sticky_keys.overflowed || self.state.sticky_keys.is_bound(key)
    }

    fn trial_admits(&self, now: Micros, build: Build, request: &InFlightRequest) -> bool {
        let rollout = &self.settings.rollout;
        let of_build = self.state.release.filter(|release| release.build == build);
        let stage = of_build.map_or(0, |release| release.stage);
        let class = &self.settings.classes[request.request.class];
        let idempotent = class.idempotency == Idempotency::Idempotent;
        if stage < rollout.idempotent_only_stages && !idempotent {
            return false;
        }
        let window = rollout.exposure_window + self.exposure_window_margin();
        let lane = if rollout.exposure_per_class { request.request.class } else { 0 };
        let counter = self.state.exposures.get(&build).and_then(|lanes| lanes.get(lane));
        let after = counter.map_or(1.0, |counter| counter.after_one_more(now, window));
        self.cap(now, build) > 0.0 && after <= rollout.exposure_slack + ROUNDING
    }

    /// A server may be listed with the newest build while an attempt is in flight there that was sent when it
    /// ran the one before: its answer counts as the newest build's.
    pub(crate) fn bind_relisted_keys(&mut self) {
        let Some(release) = self.state.release else { return };
        if !self.settings.rollout.sticky_to_new_build {
            return;
        }
        let relisted = |attempt: &&Attempt| {
            let listed = self.state.servers.get(&attempt.to.id).map(|server| server.entry.build);
            attempt.ended.is_none() && attempt.to.build != release.build && listed == Some(release.build)
        };
        let mut sent_keys: Vec<(u64, Micros)> = Vec::new();
        for request in self.state.requests.values() {
            let Some(key) = request.request.key else { continue };
            sent_keys.extend(request.attempts.iter().filter(relisted).map(|attempt| (key, attempt.sent_at)));
        }
        for (key, sent_at) in sent_keys {
            // Counts at once, as if sent that much earlier.
            let counted_from = sent_at.saturating_sub(MAINTENANCE_INTERVAL);
            self.state.sticky_keys.sent(key, counted_from, MAX_ATTEMPTS_PER_KEY);
        }
    }
}
