//! Tracks the requests and attempts in flight between the sockets and the decision module. It does no I/O and
//! reads no clock: the driver reports events with their time and performs the [`EngineAction`]s that result.
//!
//! Whatever the decision module asks for, the engine guarantees that the module gets exactly one end of each
//! attempt, that a request gets one final response, and that no attempt starts for a request that has its
//! final response. A request enters with [`Engine::on_request`]; its attempts report
//! [`Engine::on_attempt_ended`] or [`Engine::on_stream_started`]. The engine's deadlines are the module's
//! timers, the time-outs that the module sets for attempts, the latest time of each final response, and the
//! rounds of the fleet's budgets.

mod action;
mod attempts;
mod budgets;
mod counts;
mod deadlines;
mod delivered;
mod dispatch;
mod requests;
mod shutdown;

pub use action::{EngineAction, LocalResponse};
pub use counts::Counts;

use deadlines::DeadlineQueue;
use delivered::DeliveredAnswers;
use requests::InFlightRequest;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use violetseam::balancer::Balancer;
use violetseam::interface::{Action, Event, ReleaseStatus, RequestId, Settings};
use violetseam::lease::{ListLease, SendPermissions};
use violetseam_fleet_state::fleet_quotas::FleetQuotas;
use violetseam_recorder::Recorder;

/// The requests, the attempts and the decision module of one proxy.
pub struct Engine {
    module: Balancer,
    settings: Settings,
    recorder: Option<Recorder>,
    requests: HashMap<RequestId, InFlightRequest>,
    deadlines: DeadlineQueue,
    last_id: RequestId,
    delivered: DeliveredAnswers,
    /// Empty between two events; kept to reuse its allocation.
    action_buffer: Vec<Action>,
    pending_actions: VecDeque<EngineAction>,
    /// Events caused by the module's own actions. The module gets them after all actions of the event have
    /// been applied.
    deferred_events: VecDeque<Event<'static>>,
    /// The module is handling an event, or the actions that it returned are being applied.
    dispatching: bool,
    permissions: SendPermissions,
    /// This proxy's share of the fleet's retry budgets; `None` if nothing limits it.
    budgets: Option<FleetQuotas>,
    counts: Counts,
    release: Option<ReleaseStatus>,
    module_time: Duration,
    measures_module_time: bool,
}

impl Engine {
    /// Creates an engine with a new decision module.
    pub fn new(settings: Settings, seed: u64, recorder: Option<Recorder>) -> Self {
        Engine {
            module: Balancer::new(settings.clone(), seed),
            settings,
            recorder,
            requests: HashMap::new(),
            deadlines: DeadlineQueue::default(),
            last_id: 0,
            delivered: DeliveredAnswers::default(),
            action_buffer: Vec::new(),
            pending_actions: VecDeque::new(),
            deferred_events: VecDeque::new(),
            dispatching: false,
            permissions: SendPermissions::new(ListLease::unlimited()),
            budgets: None,
            counts: Counts::default(),
            release: None,
            module_time: Duration::ZERO,
            measures_module_time: false,
        }
    }

    /// Creates an engine with a decision module that an earlier process handed over; see
    /// [`Balancer::successor`].
    pub fn with_module(settings: Settings, module: Balancer) -> Self {
        Engine { module, ..Engine::new(settings, 0, None) }
    }

    /// Limits the memory in which the decision module remembers keys, in bytes.
    pub fn limit_key_memory(&mut self, bytes: usize) {
        self.module.limit_key_memory(bytes);
    }

    /// Removes and returns the next action that the driver must perform.
    pub fn next_action(&mut self) -> Option<EngineAction> {
        self.pending_actions.pop_front()
    }

    /// Counts of requests and attempts since the process started.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The latest known release status of the newest build.
    pub fn release(&self) -> Option<ReleaseStatus> {
        self.release
    }

    /// Starts measuring the time that the decision module takes.
    pub fn measure_module_time(&mut self) {
        self.measures_module_time = true;
    }

    /// The time spent in the decision module since [`Self::measure_module_time`].
    pub fn module_time(&self) -> Duration {
        self.module_time
    }

    /// The flight recorder; `None` if nothing is recorded.
    pub fn recorder(&mut self) -> Option<&mut Recorder> {
        self.recorder.as_mut()
    }

    /// Takes the flight recorder out, so that the caller can finish the recording.
    pub fn take_recorder(&mut self) -> Option<Recorder> {
        self.recorder.take()
    }
}
