//! Decides which servers this member ejects as a collector, and which servers are ejected by the majority of
//! their collectors.

use super::message::MAX_ENTRIES;
use super::observation::{AttemptCounts, Observation};
use super::{OutlierGossip, ReportKey, ServerId, TrackedServer};
use crate::types::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The minimum number of members that could not reach a server for the lower of the two thresholds to apply.
const MIN_UNREACHABLE_REPORTS: usize = 2;

/// A server that qualifies for ejection. Candidates are ordered by `support`, then by id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// The number of bad reports on the server, or of collectors that vote to eject it.
    support: usize,
    server: ServerId,
}

/// The servers of one zone.
#[derive(Debug, Default)]
struct Zone {
    /// The number of servers in the zone.
    servers: usize,
    candidates: Vec<Candidate>,
}

impl OutlierGossip {
    /// Returns the servers that this member ejects as a collector. If more servers qualify than one message
    /// can list, those with the most bad reports are ejected. The member's own observations count only if
    /// `own_observations_trusted`.
    pub(super) fn servers_to_eject(
        &mut self,
        now: Micros,
        own_observations_trusted: bool,
    ) -> BTreeSet<ServerId> {
        let max_age = self.settings.max_observation_age;
        self.reports.retain(|_, report| now < report.observed_at + max_age);
        let mut candidates: Vec<Candidate> = Vec::new();
        for (&server, tracked) in &self.servers {
            if !tracked.collectors.contains(&self.settings.position) {
                continue;
            }
            let observations = self.latest_observations(now, server, tracked, own_observations_trusted);
            if self.warrants_ejection(&observations) {
                candidates.push(Candidate { support: bad_reports(&observations), server });
            }
        }
        candidates.sort_unstable_by_key(|candidate| Reverse(*candidate));
        candidates.into_iter().take(MAX_ENTRIES).map(|candidate| candidate.server).collect()
    }

    /// Returns each member's observation of a server, the latest first.
    fn latest_observations(
        &self,
        now: Micros,
        server: ServerId,
        tracked: &TrackedServer,
        own_observations_trusted: bool,
    ) -> Vec<Observation> {
        let first = ReportKey { server, reporter: 0 };
        let last = ReportKey { server, reporter: usize::MAX };
        let mut observations: Vec<Observation> =
            self.reports.range(first..=last).map(|(_, report)| *report).collect();
        if own_observations_trusted {
            observations.extend(tracked.recent_observation(now, self.settings.observation_window));
        }
        observations.sort_unstable_by_key(|observation| Reverse(observation.observed_at));
        observations
    }

    /// Whether the observations, which are given the latest first, reach one of the two thresholds.
    fn warrants_ejection(&self, observations: &[Observation]) -> bool {
        let lower = self.settings.unreachable_threshold;
        let higher = self.settings.failure_threshold;
        let latest = |count: usize| &observations[..observations.len().min(count)];
        let is_unreachable = |o: &&Observation| o.counts.is_bad() && o.counts.unreachable > 0;
        let unreachable = latest(lower).iter().filter(is_unreachable).count();
        let all_bad = bad_reports(latest(lower)) == lower;
        (all_bad && unreachable >= MIN_UNREACHABLE_REPORTS) || bad_reports(latest(higher)) + 1 >= higher
    }

    /// Returns the servers that this member must not use now.
    pub fn ejected(&self, now: Micros) -> BTreeSet<ServerId> {
        let mut zones: BTreeMap<u16, Zone> = BTreeMap::new();
        for (&id, server) in &self.servers {
            let zone = zones.entry(server.zone).or_default();
            zone.servers += 1;
            let votes =
                server.collectors.iter().filter(|member| self.votes_to_eject(now, **member, id)).count();
            if 2 * votes > server.collectors.len() && !self.last_own_attempt_succeeded(now, server) {
                zone.candidates.push(Candidate { support: votes, server: id });
            }
        }
        let mut ejected = BTreeSet::new();
        for Zone { servers, mut candidates } in zones.into_values() {
            candidates.sort_unstable_by_key(|candidate| Reverse(*candidate));
            candidates.truncate(servers * self.settings.max_ejected_percent / 100);
            let chosen = candidates.into_iter().map(|candidate| candidate.server);
            ejected.extend(chosen.filter(|server| !self.probes(now, *server)));
        }
        ejected
    }

    /// Whether a collector, which may be this member itself, has a server on its list of ejected servers.
    fn votes_to_eject(&self, now: Micros, collector: usize, server: ServerId) -> bool {
        if collector == self.settings.position {
            return self.broadcast.ejected.contains(&server);
        }
        let peer = &self.peers[collector];
        now < peer.ejected_until && peer.ejected.contains(&server)
    }

    fn last_own_attempt_succeeded(&self, now: Micros, server: &TrackedServer) -> bool {
        let counts = server.recent_counts(now, self.settings.observation_window);
        counts.is_some_and(AttemptCounts::last_succeeded)
    }

    /// Whether this member should try a server although it is ejected. In each period, each member draws for
    /// itself with a probability of one in the fleet's size, so clocks need not be synchronized.
    fn probes(&self, now: Micros, server: ServerId) -> bool {
        let period = now / self.settings.probe_interval.max(1);
        let key = [server.to_le_bytes(), period.to_le_bytes()].concat();
        let draw = xxh3_64_with_seed(&key, self.settings.position as u64);
        draw.is_multiple_of(self.settings.members as u64)
    }
}

fn bad_reports(observations: &[Observation]) -> usize {
    observations.iter().filter(|observation| observation.counts.is_bad()).count()
}
