//! The balancer: its settings and its state, either newly created or handed over by another process.
//!
//! The decisions are methods in separate modules; `src/event_loop.rs` calls them for each event.

use crate::interface::{Micros, Settings};
use crate::retry::MAX_RETRY_BUDGET;
use crate::state::{BalancerState, LatencyEstimate, RandomSource};
use crate::time::MILLISECOND;

/// The shortest tick that is used. Margins before deadlines are counted in ticks, so a shorter tick would
/// make them too small.
const MIN_TICK: Micros = 5 * MILLISECOND;

/// The decisions of one load balancer, as a deterministic state machine.
///
/// The same settings, seed and events always produce the same actions. The balancer reads no clock and does
/// no I/O.
#[derive(Clone, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) state: BalancerState,
}

impl Balancer {
    /// Creates a balancer that knows nothing but its settings. `seed` initializes its random source.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.tick = settings.tick.max(MIN_TICK);
        settings.rollout.votes_to_roll_back = settings.rollout.votes_to_roll_back.max(1.0);
        let latencies = vec![LatencyEstimate::default(); settings.classes.len()];
        let mut state = BalancerState {
            random: RandomSource(seed),
            latencies,
            retry_budget: MAX_RETRY_BUDGET,
            ..BalancerState::default()
        };
        // These values are random so that the balancers of a fleet do not all do the same thing at the same
        // moment.
        state.trial_credit = state.random.unit();
        state.incarnation = (state.random.unit() * 256.0) as u8;
        Balancer { settings, state }
    }

    /// Limits the memory for keys that are remembered, in bytes.
    pub fn limit_key_memory(&mut self, bytes: usize) {
        self.state.sticky_keys.limit_memory(bytes);
    }

    /// Creates the balancer for a process that takes over. It keeps everything that was learned, reserved and
    /// announced, but none of the requests in flight: the process that hands over finishes those.
    pub fn successor(&self, seed: u64) -> Self {
        let mut successor = self.clone();
        successor.state.drop_requests_for_hand_over(seed);
        successor
    }
}
