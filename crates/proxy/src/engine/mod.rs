//! Requests and attempts in flight, between the sockets and the decisions; without I/O or a clock.
//!
//! What it guarantees whatever the decision module asks for: each attempt ends exactly once in the module's
//! eyes, a request gets one final answer, and nothing starts for a request that has had it. In the order of a
//! request's course: [`Engine::on_request`], [`Engine::on_attempt_ended`] or [`Engine::on_stream_started`], and
//! the [`EngineAction`]s that come of them. Its deadlines are the module's timers, the time-outs that the module
//! set for attempts, the last moment for each final answer, and the rounds of the fleet's budgets.

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

/// One proxy's requests, attempts and decisions.
pub struct Engine {
    module: Balancer,
    settings: Settings,
    recorder: Option<Recorder>,
    requests: HashMap<RequestId, InFlightRequest>,
    deadlines: DeadlineQueue,
    last_id: RequestId,
    delivered: DeliveredAnswers,
    /// Empty between two events; its allocation is used again.
    action_buffer: Vec<Action>,
    pending_actions: VecDeque<EngineAction>,
    /// Events that the module's own actions brought about: it hears them after all of these are done.
    deferred_events: VecDeque<Event<'static>>,
    /// An event is with the module, or its actions are being applied.
    dispatching: bool,
    permissions: SendPermissions,
    /// What this proxy may spend of the fleet's budgets of further attempts.
    budgets: Option<FleetQuotas>,
    counts: Counts,
    release: Option<ReleaseStatus>,
    module_time: Duration,
    measures_module_time: bool,
}

impl Engine {
    /// A fresh engine round a fresh decision module.
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

    /// An engine that goes on with what a process before it had learned; see [`Balancer::successor`].
    pub fn with_module(settings: Settings, module: Balancer) -> Self {
        Engine { module, ..Engine::new(settings, 0, None) }
    }

    /// The next action for the driver.
    pub fn next_action(&mut self) -> Option<EngineAction> {
        self.pending_actions.pop_front()
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The latest state of the newest build's release.
    pub fn release(&self) -> Option<ReleaseStatus> {
        self.release
    }

    /// Measures from now on how long the decision module takes.
    pub fn measure_module_time(&mut self) {
        self.measures_module_time = true;
    }

    /// Time spent in the decision module while measured.
    pub fn module_time(&self) -> Duration {
        self.module_time
    }

    /// The flight recorder.
    pub fn recorder(&mut self) -> Option<&mut Recorder> {
        self.recorder.as_mut()
    }

    /// Gives the recorder up, to be finished.
    pub fn take_recorder(&mut self) -> Option<Recorder> {
        self.recorder.take()
    }
}
