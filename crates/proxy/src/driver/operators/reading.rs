//! The reading of the state that operators ask for.

use super::super::Proxy;
use std::collections::BTreeMap;
use violetseam::interface::{Build, Micros, Phase, ReleaseStatus, ServerId, Verdict};
use violetseam_control::state::{Counts, Reading, Release, Rights};
use violetseam_shared::budgets::Sight;

/// Peers heard from so recently count as heard.
const RECENT_PEER_SPAN: Micros = 10_000_000;
/// The span over which attempts are counted by build.
const BUILD_COUNT_SPAN: Micros = 10_000_000;

/// Attempts by build, in the present span and in the one before.
#[derive(Debug, Default)]
pub(in super::super) struct AttemptsByBuild {
    present: BTreeMap<Build, u64>,
    previous: BTreeMap<Build, u64>,
    present_since: Micros,
}

impl AttemptsByBuild {
    fn begin_span_if_due(&mut self, now: Micros) {
        if now >= self.present_since + BUILD_COUNT_SPAN {
            self.previous = std::mem::take(&mut self.present);
            self.present_since = now;
        }
    }

    fn count(&mut self, build: Build) {
        *self.present.entry(build).or_default() += 1;
    }

    fn total(&self) -> BTreeMap<Build, u64> {
        let mut total = self.previous.clone();
        for (build, attempts) in &self.present {
            *total.entry(*build).or_default() += attempts;
        }
        total
    }
}

impl Proxy {
    /// The name that operators know this proxy by.
    pub(super) fn own_name(&self) -> String {
        format!("{}-{}", self.settings.name, self.settings.decisions.position)
    }

    /// Records the latest vote for the reading.
    pub(in super::super) fn record_vote(&mut self, build: Build, stage: u8, verdict: Verdict) {
        self.last_vote = Some(format!("{verdict:?} on build {build}, stage {stage}").to_lowercase());
    }

    /// Counts an attempt for the reading, by the build that its server is listed with.
    pub(in super::super) fn count_attempt(&mut self, server: ServerId) {
        let now = self.now();
        self.attempts_by_build.begin_span_if_due(now);
        if let Some(listed) = self.listed_servers.get(&server) {
            self.attempts_by_build.count(listed.entry.build);
        }
    }

    /// The state at this moment: all of it from one turn of the event loop.
    pub(super) fn reading(&self) -> Reading {
        let now = self.now();
        let control = self.control.as_ref();
        let pause = control.and_then(|control| control.book.pause());
        let recent_peers = self.peers_heard_at.values().filter(|at| **at + RECENT_PEER_SPAN > now);
        Reading {
            name: self.own_name(),
            boot: control.map_or(0, |control| control.boot),
            up_us: self.started.elapsed().as_micros() as u64,
            draining: self.draining,
            release: self.engine.release().map(release_reading),
            attempts: self.attempts_by_build.total().into_iter().collect(),
            vote: self.last_vote.clone(),
            finding: self.last_finding.clone(),
            paused: pause.map(|pause| (pause.until_us, pause.issuer.clone())),
            counts: self.counts_reading(),
            connections: (self.clients.len() as u64, self.servers.len() as u64),
            owed: self.engine.pending_responses() as u64,
            peers: recent_peers.count() as u64,
            list_age_us: self.list_received_at.map(|at| now.saturating_sub(at)),
            servers: self.listed_servers.len() as u64,
            distributed: self.configuration_reading(),
            rights: self.engine.budgets(now).into_iter().map(|sight| self.budget_reading(sight)).collect(),
        }
    }

    fn counts_reading(&self) -> Counts {
        let counts = self.engine.counts();
        Counts {
            taken: counts.received,
            served: counts.served,
            refused: counts.rejected,
            failed: counts.failed,
            gone: counts.disconnected,
            attempts: counts.attempts,
        }
    }

    fn budget_reading(&self, sight: Sight) -> Rights {
        let Sight { class, budget, floor, lot, lent, borrowed, rate, spent, denied } = sight;
        let class = self.settings.class_names.get(class).cloned().unwrap_or_default();
        Rights { class, budget, floor, lot, lent, borrowed, rate, spent, denied }
    }
}

fn release_reading(release: ReleaseStatus) -> Release {
    let phase = match release.phase {
        Phase::Trial => "trial",
        Phase::RollingBack => "rolling_back",
        Phase::Released => "released",
        Phase::Withdrawn => "withdrawn",
    };
    Release { build: release.build, stage: release.stage, phase: phase.to_owned(), cap: release.cap }
}
