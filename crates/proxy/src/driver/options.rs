//! How a proxy is started, and what it reports when it stops.

use crate::engine::Counts;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use violetseam_recorder::RecordingLimits;

/// Where a proxy records its events and actions.
#[derive(Clone, Debug)]
pub struct Recording {
    /// The file.
    pub path: PathBuf,
    /// How much is recorded.
    pub limits: RecordingLimits,
}

/// How a proxy is started beside its settings.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Records every event and action.
    pub record: Option<Recording>,
    /// Measures the time spent in the module.
    pub time_module: bool,
    /// Stops by itself after this span.
    pub stop_after: Option<Duration>,
    /// Drains once this is set, for proxies that share a process with others and its signals.
    pub stop: Option<Arc<AtomicBool>>,
    /// For the checker's own tests: how this proxy breaks the rules on purpose.
    #[cfg(feature = "sabotage")]
    pub sabotage: Option<Sabotage>,
}

/// Ways to break the rules on purpose, so that the rule checker can be seen to notice. Only in builds with
/// the feature `sabotage`; the module and the engine are the ordinary ones.
#[cfg(feature = "sabotage")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Every twentieth request goes out twice.
    DoubleSend,
    /// Final answers of the proxy's own are delayed until after the deadline.
    LateAnswer,
    /// Discovery's notice that a server drains is ignored.
    IgnoreDrains,
    /// The fleet's budgets are ignored.
    Spendthrift,
}

/// What a proxy did, reported when it stops.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    /// Requests and attempts.
    pub counts: Counts,
    /// Client connections and server connections left open: 0 after a drain.
    pub left_open: usize,
    /// Requests left in flight: 0 after a drain.
    pub left_in_flight: usize,
    /// Time spent in the module, if measured.
    pub module_time: Duration,
}
