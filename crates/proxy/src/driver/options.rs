//! The options that a proxy is started with, and the summary that it reports when it stops.

use crate::engine::Counts;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use violetseam_recorder::RecordingLimits;

/// Where a proxy records its events and actions, and how much.
#[derive(Clone, Debug)]
pub struct Recording {
    /// The path of the recording.
    pub path: PathBuf,
    /// The limits on the size of the recording.
    pub limits: RecordingLimits,
}

/// The options that a proxy is started with, in addition to its settings.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Where every event and action is recorded; nothing is recorded if this is absent.
    pub record: Option<Recording>,
    /// Whether the time spent in the decision module is measured.
    pub measure_module_time: bool,
    /// The time after which the proxy stops by itself.
    pub stop_after: Option<Duration>,
    /// The proxy drains and stops once this flag is set. It is for proxies that share a process with others,
    /// and therefore cannot be stopped by a signal to the process.
    pub stop: Option<Arc<AtomicBool>>,
    /// The rule that this proxy breaks on purpose, for the tests of the rule checker.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<Sabotage>,
}

/// Ways to break the rules on purpose, so that tests can verify that the rule checker reports them. They
/// exist only in builds with the feature `sabotage`. The decision module and the engine are not changed by
/// it.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Every twentieth request is sent twice.
    DoubleSend,
    /// Final responses that the proxy itself generates are delayed until after the deadline.
    LateResponse,
    /// Notices from discovery that a server drains are ignored.
    IgnoreDrains,
    /// The fleet's retry budgets are ignored.
    IgnoreBudgets,
}

/// What a proxy did, as it reports it when it stops.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Counts of requests and attempts.
    pub counts: Counts,
    /// How many client connections and busy server connections were left open; 0 after a complete drain.
    pub left_open: usize,
    /// How many requests were left in flight; 0 after a complete drain.
    pub left_in_flight: usize,
    /// The time spent in the decision module, if it was measured.
    pub module_time: Duration,
}
