//! The release status, which is streamed by one of the release services in the settings at a time.

use super::super::Proxy;
use super::super::http_request::HttpRequest;
use super::super::timers::TimerKind;
use super::call::CallRequest;
use super::{CallError, CallPurpose, MIN_STREAM_WAIT};
use std::net::SocketAddr;
use violetseam::interface::{Micros, ReleaseStatus};
use violetseam::release_order::ReleaseReport;
use violetseam_site_protocol::release_service::FencedRelease;

impl Proxy {
    /// Opens the stream of the release status. If the stream ends, it is opened again after a delay.
    pub(in super::super) fn open_release_stream(&mut self) {
        let is_ending = self.has_handed_over() || self.lifecycle.is_shutting_down();
        if self.site_calls.release_stream.is_some() || is_ending {
            return;
        }
        let path = format!("/v1/stage/watch?proxy={}", self.settings.decisions.position);
        self.site_calls.release_stream = self.start_call(&CallRequest {
            purpose: CallPurpose::WatchRelease,
            request: HttpRequest::get(self.release_service(), &path),
            timeout: self.settings.release_idle_timeout,
        });
        if self.site_calls.release_stream.is_none() {
            self.on_release_stream_lost();
        }
    }

    /// Returns the address of the release service that is called.
    pub(super) fn release_service(&self) -> SocketAddr {
        let addresses = &self.settings.release_services;
        addresses[self.site_calls.release_service_index % addresses.len()]
    }

    /// Selects the next release service, and sets the timer that opens the stream from it after a random
    /// delay.
    pub(super) fn on_release_stream_lost(&mut self) {
        self.site_calls.release_stream = None;
        // Another release service, until now a standby, may have become the leader.
        let next_index = self.site_calls.release_service_index + 1;
        self.site_calls.release_service_index = next_index % self.settings.release_services.len();
        // The delay is random because all proxies lose the release service at the same time and must not
        // reconnect at the same time.
        let base_delay = self.settings.release_reconnect_delay.max(MIN_STREAM_WAIT);
        let delay = base_delay / 2 + self.random_u64() % base_delay;
        self.timers.set(self.now() + delay, TimerKind::ReleaseStream);
    }

    /// Passes a release status to the engine, unless it comes from a superseded release service or may be
    /// older than the one that a reply to a vote has brought.
    pub(super) fn on_release_line(&mut self, stream: u64, line: &[u8]) -> Result<(), CallError> {
        let release = FencedRelease::parse(line).map_err(CallError::malformed)?;
        let FencedRelease { status, fence, .. } = release;
        let highest = self.site_calls.highest_fence;
        if fence < highest {
            // The status comes from a controller that was superseded while it was suspended. The status is
            // ignored, and the stream from this controller ends.
            return Err(CallError::Superseded { fence, highest });
        }
        let now = self.now();
        let report = release.report(|status| ReleaseReport::on_stream(status, stream, now));
        if !self.admits_release(now, fence, report) {
            return Ok(());
        }
        if self.engine.release() != Some(status) {
            let ReleaseStatus { build, stage, phase, cap } = status;
            tracing::info!(target: "verdict", build, stage, ?phase, cap, "stage news");
        }
        self.engine.on_release_status(now, status);
        Ok(())
    }

    /// Returns whether the status of a report with this fencing number, which is not below the highest, is to
    /// be put in force.
    pub(super) fn admits_release(&mut self, now: Micros, fence: u64, report: ReleaseReport) -> bool {
        let is_admitted = self.site_calls.admits_release(fence, report);
        if !is_admitted && self.log_limit.allows(now) {
            let ReleaseStatus { build, stage, phase, cap } = report.status();
            let source = report.source();
            tracing::info!(target: "verdict", build, stage, ?phase, cap, %source, "late stage news ignored");
        }
        is_admitted
    }
}
