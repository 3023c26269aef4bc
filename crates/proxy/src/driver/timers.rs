//! The driver's own time-outs: bounds of connections and calls, none of requests, which the module times.

#[cfg(feature = "sabotage")]
use crate::engine::LocalResponse;
#[cfg(feature = "sabotage")]
use violetseam::interface::RequestId;
use violetseam::interface::{Micros, Outcome};

/// Between two rounds of upkeep.
const UPKEEP: Micros = 200_000;
/// A listener that ran out of descriptors pauses so long.
pub const ACCEPT_PAUSE: Micros = 50_000;

/// What comes due. Connections are named by their place and generation, as places are used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
    /// A client's present time-out may be over.
    Client(usize, u64),
    /// A server connection's present time-out may be over.
    Server(usize, u64),
    /// A call's time is over.
    Call(usize, u64),
    /// Accept again.
    Accept,
    /// Open the desk's stream again.
    Desk,
    /// A process that takes over has had its time.
    Takeover(u64),
    /// An operator's connection has been quiet for long.
    Operator(usize, u64),
    /// The subscription to a publisher's configuration has something due.
    Configuration,
    /// A report to the publisher has had its time.
    ConfigurationReport(u64),
    /// Slow upkeep.
    Upkeep,
    /// A final answer held back on purpose.
    #[cfg(feature = "sabotage")]
    Late(RequestId, Option<Micros>, bool),
}

/// All of them, by time.
pub type Timers = violetseam_loopio::timers::Timers<What>;

impl super::Proxy {
    /// Plays the driver's time-outs that are due.
    pub(super) fn own_timers(&mut self, now: Micros) {
        while let Some(what) = self.timers.pop(now) {
            match what {
                What::Client(key, generation) => self.client_timeout(now, key, generation),
                What::Server(key, generation) => self.server_timeout(now, key, generation),
                What::Call(key, generation) => self.call_timeout(key, generation),
                What::Accept => self.accept_again(),
                What::Desk => self.open_desk_stream(),
                What::Takeover(generation) => {
                    if self.handing.is_some_and(|h| h.1 == generation) {
                        self.keep_serving("the new process took too long");
                    }
                }
                What::Operator(key, generation) => self.operator_timeout(key, generation),
                What::Configuration => self.follow_configuration(),
                What::ConfigurationReport(generation) => self.report_timeout(generation),
                What::Upkeep => self.upkeep(now),
                #[cfg(feature = "sabotage")]
                What::Late(request, retry_after, timed_out) => {
                    let failed = LocalResponse::Failed { timed_out };
                    let answer =
                        retry_after.map_or(failed, |retry_after| LocalResponse::Rejected { retry_after });
                    self.respond_now(request, answer);
                }
            }
            self.pump();
        }
    }

    /// Sets the next round of upkeep.
    pub(super) fn next_upkeep(&mut self, now: Micros) {
        self.timers.set(now + UPKEEP, What::Upkeep);
    }

    fn upkeep(&mut self, now: Micros) {
        self.next_upkeep(now);
        self.operators_upkeep();
        self.store_upkeep();
        if let Some(recorder) = self.engine.recorder() {
            recorder.flush();
        }
        if std::mem::take(&mut self.roster_changed) {
            self.save_roster();
        }
    }

    #[cfg(feature = "sabotage")]
    pub(super) fn delay_response(&mut self, at: Micros, request: RequestId, answer: LocalResponse) {
        let (retry_after, timed_out) = match answer {
            LocalResponse::Rejected { retry_after } => (Some(retry_after), false),
            LocalResponse::Failed { timed_out } => (None, timed_out),
        };
        self.timers.set(at, What::Late(request, retry_after, timed_out));
    }

    /// An attempt's end, told to the engine; what it orders is done by the caller's `pump`.
    pub(super) fn end_attempt(&mut self, request: u64, attempt: usize, outcome: Outcome) -> bool {
        let now = self.now();
        self.engine.on_attempt_ended(now, request, attempt, outcome)
    }
}
