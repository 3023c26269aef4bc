//! The balancer: its settings and its state, made new or taken over from a process that hands over.
//!
//! The decisions are methods in modules of their own; `src/event_loop.rs` calls them event by event.

use crate::interface::{Micros, RequestClass, Settings};
use crate::retry::MAX_RETRY_BUDGET;
use crate::state::{BalancerState, LatencyEstimate, RandomSource};
use crate::time::MILLISECOND;

/// Margins before deadlines are counted in ticks, so that a tick has a least length.
const MIN_TICK: Micros = 5 * MILLISECOND;

/// One load balancer's decisions: a deterministic state machine.
///
/// Fed with the same settings, seed and events it writes the same actions. It holds no clock and does no I/O.
#[derive(Clone, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) state: BalancerState,
}

impl Balancer {
    /// A balancer that knows nothing but its settings. `seed` starts its random source.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.tick = settings.tick.max(MIN_TICK);
        settings.rollout.votes_to_roll_back = settings.rollout.votes_to_roll_back.max(1.0);
        let latencies = settings.classes.iter().map(initial_latency).collect();
        let mut state = BalancerState {
            random: RandomSource(seed),
            latencies,
            retry_budget: MAX_RETRY_BUDGET,
            ..BalancerState::default()
        };
        // Drawn at random: what each balancer does once must not be done by all of them at once.
        state.trial_credit = state.random.unit();
        state.incarnation = (state.random.unit() * 256.0) as u8;
        Balancer { settings, state }
    }

    /// The balancer for a process that takes over: all that was learned, reserved and announced, and none of
    /// the requests in flight, which the process that hands over finishes.
    pub fn successor(&self, seed: u64) -> Self {
        let mut next = self.clone();
        next.state.leave_requests(seed);
        next
    }
}

/// A class's latency before any answer: guessed from its objective.
fn initial_latency(class: &RequestClass) -> LatencyEstimate {
    let objective = class.latency_objective as f64;
    LatencyEstimate::new(objective / 4.0, objective / 2.0)
}
