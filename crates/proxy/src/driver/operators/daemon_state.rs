//! Collects the state of the proxy that operators read.

use super::super::Proxy;
use std::collections::BTreeMap;
use violetseam::interface::{Build, Micros, Phase, ReleaseStatus, ServerId, Verdict};
use violetseam_fleet_state::fleet_quotas::QuotaStatus;
use violetseam_operator_commands::daemon_state::{
    BuildAttempts, ConnectionCounts, DaemonState, PauseState, QuotaState, ReleaseState, RequestCounts,
};

/// A peer is counted as reachable if a datagram from it was received within this span.
const RECENT_PEER_SPAN: Micros = 10_000_000;
/// The length of the spans in which attempts are counted by build.
const BUILD_COUNT_SPAN: Micros = 10_000_000;

/// The number of attempts by build, in the current span and in the previous one.
#[derive(Debug, Default)]
pub(in super::super) struct AttemptsByBuild {
    current: BTreeMap<Build, u64>,
    previous: BTreeMap<Build, u64>,
    current_since: Micros,
}

impl AttemptsByBuild {
    fn begin_span_if_due(&mut self, now: Micros) {
        if now >= self.current_since + BUILD_COUNT_SPAN {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
    }

    fn count(&mut self, build: Build) {
        *self.current.entry(build).or_default() += 1;
    }

    fn total(&self) -> BTreeMap<Build, u64> {
        let mut total = self.previous.clone();
        for (build, attempts) in &self.current {
            *total.entry(*build).or_default() += attempts;
        }
        total
    }
}

impl Proxy {
    /// Returns the name under which operators address this proxy.
    pub(super) fn own_name(&self) -> String {
        format!("{}-{}", self.settings.fleet_name, self.settings.decisions.position)
    }

    /// Records the latest vote for the state that operators read.
    pub(in super::super) fn record_vote(&mut self, build: Build, stage: u8, verdict: Verdict) {
        self.last_vote = Some(format!("{verdict} on build {build}, stage {stage}").to_lowercase());
    }

    /// Counts an attempt for the state that operators read, under the build of its server in the server list.
    pub(in super::super) fn count_attempt(&mut self, server: ServerId) {
        let now = self.now();
        self.attempts_by_build.begin_span_if_due(now);
        if let Some(build) = self.server_list.build(server) {
            self.attempts_by_build.count(build);
        }
    }

    /// Returns the present state. All of it is collected in one iteration of the event loop, so it is
    /// consistent.
    pub(super) fn daemon_state(&self) -> DaemonState {
        let now = self.now();
        let control = self.control_server.as_ref();
        let pause = control.and_then(|control| control.command_log.pause());
        let recent_peers =
            self.peer_last_received_at.values().filter(|received_at| **received_at + RECENT_PEER_SPAN > now);
        DaemonState {
            name: self.own_name(),
            boot: control.map_or(0, |control| control.boot),
            uptime_us: self.clock.uptime().as_micros() as u64,
            draining: self.lifecycle.is_draining(),
            release: self.engine.release().map(release_state),
            attempts: self.attempts_by_build.total().into_iter().map(BuildAttempts::from).collect(),
            vote: self.last_vote.clone(),
            finding: self.last_analysis_line.clone(),
            pause: pause.map(|pause| PauseState { until_us: pause.until_us, issuer: pause.issuer.clone() }),
            counts: self.request_counts(),
            connections: ConnectionCounts {
                clients: self.clients.len() as u64,
                servers: self.servers.len() as u64,
            },
            pending_responses: self.engine.pending_responses() as u64,
            peers: recent_peers.count() as u64,
            endpoint_list_age_us: self.server_list.received_at().map(|at| now.saturating_sub(at)),
            servers: self.server_list.len() as u64,
            configuration: self.configuration_state(),
            quotas: self.engine.budgets(now).into_iter().map(|status| self.quota_state(status)).collect(),
        }
    }

    fn request_counts(&self) -> RequestCounts {
        let counts = self.engine.counts();
        RequestCounts {
            accepted: counts.received,
            served: counts.served,
            rejected: counts.rejected,
            failed: counts.failed,
            abandoned: counts.disconnected,
            attempts: counts.attempts,
        }
    }

    fn quota_state(&self, status: QuotaStatus) -> QuotaState {
        QuotaState {
            class: self.settings.class_names.get(status.class).cloned().unwrap_or_default(),
            budget: status.quota,
            guaranteed: status.guaranteed_quota,
            lendable: status.lendable_quota,
            lent: status.granted,
            borrowed: status.borrowed,
            rate: status.rate,
            spent: status.spent,
            denied: status.denied,
        }
    }
}

fn release_state(release: ReleaseStatus) -> ReleaseState {
    let phase = match release.phase {
        Phase::Trial => "trial",
        Phase::RollingBack => "rolling_back",
        Phase::Released => "released",
        Phase::Withdrawn => "withdrawn",
    };
    ReleaseState {
        build: release.build,
        stage: release.stage,
        phase: phase.to_owned(),
        exposure_cap: release.cap,
    }
}
