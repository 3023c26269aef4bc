//! The driver's own time-outs: bounds of connections and calls, none of requests, which the module times.

use super::ConnectionId;
#[cfg(feature = "sabotage")]
use crate::engine::LocalResponse;
use violetseam::interface::Micros;
#[cfg(feature = "sabotage")]
use violetseam::interface::RequestId;

/// The span between two rounds of upkeep.
const UPKEEP_INTERVAL: Micros = 200_000;
/// How long a listener pauses that ran out of descriptors or room.
pub const ACCEPT_PAUSE: Micros = 50_000;

/// What a timer is for. Timers that were set for one instant come due in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// A client's present time-out may be over.
    Client(ConnectionId),
    /// A server connection's present time-out may be over.
    Server(ConnectionId),
    /// A call's time is over.
    Call(ConnectionId),
    /// Accept again.
    Accept,
    /// Open the release service's stream again.
    ReleaseStream,
    /// A process that takes over has had its time.
    Takeover(u64),
    /// An operator's connection has been idle for long.
    Operator(ConnectionId),
    /// The subscription to a publisher's configuration has something due.
    Configuration,
    /// A report to the publisher has had its time.
    ConfigurationReport(u64),
    /// Slow upkeep.
    Upkeep,
    /// A final response that is delayed on purpose.
    #[cfg(feature = "sabotage")]
    DelayedResponse {
        /// The request that it answers.
        request: RequestId,
        /// The response.
        response: LocalResponse,
    },
}

/// The driver's timers, by time.
pub type Timers = violetseam_event_io::timers::Timers<TimerKind>;

/// When the present state of a connection has lasted too long.
///
/// One timer at most is set for it: a later time needs no new one, as a timer that fires early is set again.
#[derive(Clone, Copy, Debug)]
pub(super) struct StateTimeout {
    /// [`Micros::MAX`]: the state may last.
    at: Micros,
    /// When the timer fires that checks that; [`Micros::MAX`]: none is set.
    armed_at: Micros,
}

impl StateTimeout {
    /// A time-out with its timer, which fires as `kind`.
    pub(super) fn start(at: Micros, timers: &mut Timers, kind: TimerKind) -> Self {
        let mut timeout = StateTimeout { at, armed_at: Micros::MAX };
        timeout.arm(timers, kind);
        timeout
    }

    /// When the state has lasted too long; `None`: never.
    pub(super) fn at(&self) -> Option<Micros> {
        (self.at < Micros::MAX).then_some(self.at)
    }

    /// Sets another time; [`StateTimeout::arm`] sets its timer.
    pub(super) fn set(&mut self, at: Option<Micros>) {
        self.at = at.unwrap_or(Micros::MAX);
    }

    /// Sets a timer, unless one fires early enough.
    pub(super) fn arm(&mut self, timers: &mut Timers, kind: TimerKind) {
        if self.at < self.armed_at {
            self.armed_at = self.at;
            timers.set(self.at, kind);
        }
    }

    /// A timer has fired: whether the time-out is over. If it is not, a timer is set again.
    pub(super) fn on_timer(&mut self, now: Micros, timers: &mut Timers, kind: TimerKind) -> bool {
        self.armed_at = Micros::MAX;
        if self.at <= now {
            return true;
        }
        self.arm(timers, kind);
        false
    }
}

impl super::Proxy {
    /// Runs the driver's time-outs that are due.
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
            TimerKind::Call(connection) => self.call_timeout(connection),
            TimerKind::Accept => self.resume_accepting(),
            TimerKind::ReleaseStream => self.open_release_stream(),
            TimerKind::Takeover(generation) => self.hand_over_timeout(generation),
            TimerKind::Operator(connection) => self.operator_timeout(connection),
            TimerKind::Configuration => self.run_subscription(),
            TimerKind::ConfigurationReport(generation) => self.report_timeout(generation),
            TimerKind::Upkeep => self.upkeep(now),
            #[cfg(feature = "sabotage")]
            TimerKind::DelayedResponse { request, response } => self.send_local_response(request, response),
        }
    }

    /// Sets the next round of upkeep.
    pub(super) fn next_upkeep(&mut self, now: Micros) {
        self.timers.set(now + UPKEEP_INTERVAL, TimerKind::Upkeep);
    }

    fn upkeep(&mut self, now: Micros) {
        self.next_upkeep(now);
        self.control_upkeep();
        self.store_upkeep();
        if let Some(recorder) = self.engine.recorder() {
            recorder.flush();
        }
        if self.server_list.take_unsaved() {
            self.save_list();
        }
    }

    /// Gives a final response later, on purpose.
    #[cfg(feature = "sabotage")]
    pub(super) fn delay_response(&mut self, at: Micros, request: RequestId, response: LocalResponse) {
        self.timers.set(at, TimerKind::DelayedResponse { request, response });
    }
}
