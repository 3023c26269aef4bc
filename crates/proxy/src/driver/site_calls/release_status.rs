//! The release's status, streamed by one of the settings' release services at a time.

use super::super::Proxy;
use super::super::http_request::HttpRequest;
use super::super::timers::TimerKind;
use super::call::CallRequest;
use super::{CallError, CallPurpose, MIN_STREAM_SPAN};
use std::net::SocketAddr;
use violetseam::interface::ReleaseStatus;
use violetseam_site_protocol::release_service::FencedRelease;

impl Proxy {
    /// Opens the stream of the release's status; lost, it is opened again after a while.
    pub(in super::super) fn open_release_stream(&mut self) {
        let is_leaving = self.has_handed_over() || self.lifecycle.is_shutting_down();
        if self.site_calls.release_stream.is_some() || is_leaving {
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

    /// The address of the release service that is called.
    pub(super) fn release_service(&self) -> SocketAddr {
        let addresses = &self.settings.release_services;
        addresses[self.site_calls.release_service_index % addresses.len()]
    }

    /// Calls the next release service after a while.
    pub(super) fn on_release_stream_lost(&mut self) {
        self.site_calls.release_stream = None;
        // A standby may have become the leader.
        let next_index = self.site_calls.release_service_index + 1;
        self.site_calls.release_service_index = next_index % self.settings.release_services.len();
        // Drawn, as all proxies lose the release service together.
        let span = self.settings.release_reconnect_delay.max(MIN_STREAM_SPAN);
        let wait = span / 2 + self.random_u64() % span;
        self.timers.set(self.now() + wait, TimerKind::ReleaseStream);
    }

    /// Passes a new status to the engine.
    pub(super) fn on_release_line(&mut self, line: &[u8]) -> Result<(), CallError> {
        let FencedRelease { status: release, fence } =
            FencedRelease::parse(line).map_err(CallError::malformed)?;
        let highest = self.site_calls.highest_fence;
        if fence < highest {
            // A controller that was superseded while it was suspended: it is not followed, and left.
            return Err(CallError::Fenced { fence, highest });
        }
        self.site_calls.highest_fence = fence;
        if self.engine.release() != Some(release) {
            let ReleaseStatus { build, stage, phase, cap } = release;
            tracing::info!(target: "verdict", build, stage, ?phase, cap, "stage news");
        }
        let now = self.now();
        self.engine.on_release_status(now, release);
        Ok(())
    }
}
