//! Watches, which are streams of changes: of the release to proxies, and of the desired builds to the
//! platform.

use super::Controller;
use super::connections::Connection;
use super::leadership::Term;
use http::StatusCode;
use std::time::{Duration, Instant};
use violetseam_http1::Framing;
use violetseam_http1::server::ResponseStart;
use violetseam_release::{Announcement, Phase};
use violetseam_site_protocol::placement::DesiredBuilds;
use violetseam_site_protocol::release_service::{self, PhaseName};

/// A connection without a watch is closed after this many heartbeat intervals without a request, so that idle
/// connections do not use up the connection limit.
const MAX_IDLE_HEARTBEATS: u32 = 30;
/// The interval at which the desired builds are sent again, even if they have not changed.
const DESIRED_RESEND_INTERVAL: Duration = Duration::from_secs(5);
/// The line that is sent as a heartbeat on a watch.
const HEARTBEAT_LINE: &[u8] = b"\n";

/// What a connection watches, with the state that was last sent on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Watch {
    /// The connection watches nothing.
    None,
    /// The connection watches the release; the last announcement that was sent.
    Release(Option<release_service::ReleaseUpdate>),
    /// The connection watches the desired builds; the last version that was sent.
    DesiredBuilds(u64),
}

impl Controller {
    /// Returns the announcement to proxies, all of which is durable; `None` on a standby.
    pub(super) fn announcement(&self) -> Option<release_service::ReleaseUpdate> {
        let term = self.term.as_ref()?;
        let Announcement { build, stage, phase, cap } = term.release.announcement();
        let phase = match phase {
            Phase::Trial => PhaseName::Trial,
            Phase::RollingBack => PhaseName::RollingBack,
            Phase::Released => PhaseName::Released,
            Phase::Withdrawn => PhaseName::Withdrawn,
        };
        let (fence, revision) = (term.number, term.announcement_revision);
        Some(release_service::ReleaseUpdate { build, stage, phase, cap, fence, revision })
    }

    /// Starts a watch of the release.
    pub(super) fn watch_release(&mut self, key: usize) {
        let announcement = self.announcement();
        self.start_watch(key, Watch::Release(announcement), &announcement_line(announcement));
    }

    /// Starts a watch of the desired builds.
    pub(super) fn watch_desired_builds(&mut self, key: usize) {
        let Some(term) = &self.term else { return };
        let watch = Watch::DesiredBuilds(term.desired_version);
        let line = desired_builds_line(term);
        self.start_watch(key, watch, &line);
    }

    /// Starts a watch with its first line.
    fn start_watch(&mut self, key: usize, watch: Watch, line: &[u8]) {
        let Some(connection) = self.connections.get_mut(key) else { return };
        connection.watch = watch;
        connection.last_active = Instant::now();
        let Connection { socket, http, .. } = connection;
        http.start_response(socket.write_buffer(), ResponseStart::new(StatusCode::OK, Framing::Chunked));
        http.write_body(socket.write_buffer(), line);
        self.flush(key);
    }

    /// Closes idle connections, and writes changes and heartbeats to the others.
    pub(super) fn update_connections(&mut self, now: Instant) {
        self.close_idle_connections(now);
        let announcement = self.announcement();
        let heartbeat = self.settings.heartbeat;
        let Some(term) = &mut self.term else { return };
        if now >= term.desired_sent_at + DESIRED_RESEND_INTERVAL {
            term.desired_sent_at = now;
            term.desired_version += 1;
        }
        let version = term.desired_version;
        let mut desired_line = None;
        let mut written_keys = Vec::new();
        for (key, connection) in &mut self.connections {
            let heartbeat_due = now >= connection.last_active + heartbeat;
            let line = match &mut connection.watch {
                Watch::None => continue,
                Watch::Release(sent) if *sent != announcement => {
                    *sent = announcement;
                    announcement_line(announcement)
                }
                Watch::DesiredBuilds(sent) if *sent != version => {
                    *sent = version;
                    desired_line.get_or_insert_with(|| desired_builds_line(term)).clone()
                }
                Watch::Release(_) | Watch::DesiredBuilds(_) if heartbeat_due => HEARTBEAT_LINE.to_vec(),
                Watch::Release(_) | Watch::DesiredBuilds(_) => continue,
            };
            connection.last_active = now;
            connection.http.write_body(connection.socket.write_buffer(), &line);
            written_keys.push(key);
        }
        for key in written_keys {
            self.flush(key);
        }
    }

    fn close_idle_connections(&mut self, now: Instant) {
        let max_idle = self.settings.heartbeat * MAX_IDLE_HEARTBEATS;
        let mut idle_keys = Vec::new();
        for (key, connection) in &self.connections {
            if connection.watch == Watch::None && now >= connection.last_active + max_idle {
                idle_keys.push(key);
            }
        }
        for key in idle_keys {
            self.close(key);
        }
    }
}

fn announcement_line(announcement: Option<release_service::ReleaseUpdate>) -> Vec<u8> {
    announcement.map(|update| update.write()).unwrap_or_default()
}

fn desired_builds_line(term: &Term) -> Vec<u8> {
    DesiredBuilds { fence: term.number, builds: term.desired_builds.iter().copied().collect() }.write()
}
