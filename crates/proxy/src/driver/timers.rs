//! The driver's own time-outs. They bound connections and calls; the decision module times requests.

use super::ConnectionId;
#[cfg(feature = "sabotage")]
use crate::engine::LocalResponse;
use violetseam::interface::Micros;
#[cfg(feature = "sabotage")]
use violetseam::interface::RequestId;

/// The time between two rounds of maintenance.
const MAINTENANCE_INTERVAL: Micros = 200_000;
/// How long a listener pauses after the process ran out of descriptors or the proxy out of room for
/// connections.
pub const ACCEPT_PAUSE: Micros = 50_000;

/// What a timer is for. Timers that are set for the same time fire in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// The time-out of a client connection's present state may have expired.
    Client(ConnectionId),
    /// The time-out of a server connection's present state may have expired.
    Server(ConnectionId),
    /// The time-out of a call to discovery or to the release service may have expired.
    SiteCall(ConnectionId),
    /// A pause in accepting connections is over.
    ResumeAccepting,
    /// The stream from the release service must be opened again.
    ReleaseStream,
    /// The time for the new process of a takeover to become ready, on the connection of this generation, is
    /// over.
    Takeover(u64),
    /// The idle time-out of an operator's connection may have expired.
    Operator(ConnectionId),
    /// Work of the subscription to a publisher's configuration is due.
    Configuration,
    /// The time-out of the report to the publisher with this generation has expired.
    ConfigurationReport(u64),
    /// A round of maintenance is due.
    Maintenance,
    /// A final response that sabotage delays is due.
    #[cfg(feature = "sabotage")]
    DelayedResponse {
        /// The request that the response belongs to.
        request: RequestId,
        /// The response.
        response: LocalResponse,
    },
}

/// The driver's timers, ordered by time.
pub type Timers = violetseam_event_io::timers::Timers<TimerKind>;

/// The time-out of a connection's present state.
///
/// At most one timer is set for it. A time-out that moves to a later time needs no new timer: the timer fires
/// early and is then set again.
#[derive(Clone, Copy, Debug)]
pub(super) struct StateTimeout {
    /// When the time-out expires; [`Micros::MAX`] if it never does.
    expires_at: Micros,
    /// When the timer fires that checks the time-out; [`Micros::MAX`] if no timer is set.
    armed_at: Micros,
}

impl StateTimeout {
    /// Creates a time-out that expires at `expires_at`, and sets its timer, which fires as `kind`.
    pub(super) fn start(expires_at: Micros, timers: &mut Timers, kind: TimerKind) -> Self {
        let mut timeout = StateTimeout { expires_at, armed_at: Micros::MAX };
        timeout.arm(timers, kind);
        timeout
    }

    /// Returns when the time-out expires, or `None` if it never does.
    pub(super) fn expires_at(&self) -> Option<Micros> {
        (self.expires_at < Micros::MAX).then_some(self.expires_at)
    }

    /// Changes when the time-out expires; `None` means never. [`StateTimeout::arm`] must be called to set its
    /// timer.
    pub(super) fn set(&mut self, expires_at: Option<Micros>) {
        self.expires_at = expires_at.unwrap_or(Micros::MAX);
    }

    /// Sets a timer, unless one is set that fires early enough.
    pub(super) fn arm(&mut self, timers: &mut Timers, kind: TimerKind) {
        if self.expires_at < self.armed_at {
            self.armed_at = self.expires_at;
            timers.set(self.expires_at, kind);
        }
    }

    /// Handles the timer that has fired, and returns whether the time-out has expired. If it has not, the
    /// timer is set again.
    pub(super) fn on_timer_fired(&mut self, now: Micros, timers: &mut Timers, kind: TimerKind) -> bool {
        self.armed_at = Micros::MAX;
        if self.expires_at <= now {
            return true;
        }
        self.arm(timers, kind);
        false
    }
}

impl super::Proxy {
    /// Runs the driver's timers that are due.
    pub(super) fn run_timers(&mut self, now: Micros) {
        while let Some(kind) = self.timers.pop(now) {
            self.run_timer(now, kind);
            self.run_engine_actions();
        }
    }

    fn run_timer(&mut self, now: Micros, kind: TimerKind) {
        match kind {
            TimerKind::Client(connection) => self.client_timeout(now, connection),
            TimerKind::Server(connection) => self.server_timeout(now, connection),
            TimerKind::SiteCall(connection) => self.call_timeout(connection),
            TimerKind::ResumeAccepting => self.resume_accepting(),
            TimerKind::ReleaseStream => self.open_release_stream(),
            TimerKind::Takeover(generation) => self.hand_over_timeout(generation),
            TimerKind::Operator(connection) => self.operator_timeout(connection),
            TimerKind::Configuration => self.run_subscription(),
            TimerKind::ConfigurationReport(generation) => self.report_timeout(generation),
            TimerKind::Maintenance => self.run_maintenance(now),
            #[cfg(feature = "sabotage")]
            TimerKind::DelayedResponse { request, response } => self.send_local_response(request, response),
        }
    }

    /// Sets the timer for the next round of maintenance.
    pub(super) fn schedule_maintenance(&mut self, now: Micros) {
        self.timers.set(now + MAINTENANCE_INTERVAL, TimerKind::Maintenance);
    }

    fn run_maintenance(&mut self, now: Micros) {
        self.schedule_maintenance(now);
        self.maintain_control();
        self.maintain_store();
        if let Some(recorder) = self.engine.recorder() {
            recorder.flush();
        }
        if self.server_list.take_unsaved() {
            self.save_server_list();
        }
    }

    /// Sends a final response at a later time, as sabotage requires.
    #[cfg(feature = "sabotage")]
    pub(super) fn delay_response(&mut self, at: Micros, request: RequestId, response: LocalResponse) {
        self.timers.set(at, TimerKind::DelayedResponse { request, response });
    }
}
