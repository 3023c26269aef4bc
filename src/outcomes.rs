//! The ends of attempts: what they say about lateness, about servers, about builds, and about sticky keys.

use crate::admission::LANE_LATE_MARGIN;
use crate::analysis::AttemptContext;
use crate::balancer::Balancer;
use crate::interface::{Action, AttemptEnd, Micros, Outcome, Phase};
use crate::retry::MAX_RETRY_BUDGET;
use crate::state::{Attempt, Lane, MAX_TRIAL_CREDIT, smooth};

/// Latest latencies that are remembered for each class.
const MAX_RECENT_LATENCIES: usize = 100;
/// Weight of the newest outcome in a server's record.
const RECORD_SMOOTHING: f64 = 0.15;
/// The same where a server answers faster than its record says.
const FASTER_SMOOTHING: f64 = 0.5;
/// Weight of the newest answer in the late shares.
const LATE_SMOOTHING: f64 = 0.1;
/// The highest ratio to the typical latency that counts in a server's record.
const MAX_SLOWNESS: f64 = 10.0;

impl Balancer {
    pub(crate) fn on_attempt_ended(&mut self, now: Micros, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get_mut(&end.request) else { return };
        let Some(attempt) = request.attempts.get_mut(end.attempt) else { return };
        if attempt.ended.replace(end.outcome).is_some() {
            return;
        }
        let attempt = attempt.clone();
        let inner = request.request;
        let cost = request.cost;
        let objective = self.settings.classes[inner.class].latency_objective;
        let late = now >= request.arrived + objective;
        let work = inner.cost_hint.unwrap_or(objective).max(1) as f64;
        self.record_lateness(self.lane(&inner), late, end.outcome);
        self.return_unused(&attempt, end);
        self.record_server_outcome(now, inner.class, attempt.concurrency, end);
        self.record_build_outcome(&AttemptContext { attempt: &attempt, class: inner.class, work, late }, end);
        if end.outcome == Outcome::Ok && !attempt.warming_up {
            self.state.served_cost.add(now, cost);
        }
        if let Some(key) = inner.key {
            self.record_key_outcome(key, &attempt, end.outcome);
        }
        self.after_attempt(now, end, out);
    }

    fn after_attempt(&mut self, now: Micros, end: AttemptEnd, out: &mut Vec<Action>) {
        let id = end.request;
        let Some(request) = self.state.requests.get(&id) else { return };
        if end.finishes_request || request.done {
            self.finish(id, out);
        } else if request.attempts_in_flight() == 0 && !request.streaming {
            self.retry_or_finish(now, id, end.outcome, out);
        }
    }

    /// Lateness is counted over all servers, as none's queue shows on thin traffic. A lane that alone is late
    /// waits for reasons of its own: it must neither have the others shed nor hold their slots.
    fn record_lateness(&mut self, lane: Lane, late: bool, outcome: Outcome) {
        if !matches!(outcome, Outcome::Ok | Outcome::Timeout | Outcome::Rejected) {
            return;
        }
        let lateness = f64::from(u8::from(late || outcome == Outcome::Rejected));
        let of_lane = self.state.late_share_by_lane.entry(lane).or_default();
        smooth(of_lane, lateness, LATE_SMOOTHING);
        let lane_alone_is_late = *of_lane > self.state.late_share + LANE_LATE_MARGIN;
        let weight = if lane_alone_is_late { 0.0 } else { LATE_SMOOTHING };
        smooth(&mut self.state.late_share, lateness, weight);
    }

    /// An attempt that was never sent gives back what was taken for it.
    fn return_unused(&mut self, attempt: &Attempt, end: AttemptEnd) {
        if end.outcome == Outcome::CancelledBeforeSend && end.attempt > 0 {
            self.state.retry_budget = (self.state.retry_budget + 1.0).min(MAX_RETRY_BUDGET);
        } else if end.outcome == Outcome::NotSent {
            self.release_reservation(end.request, end.attempt);
        }
        if end.outcome.never_sent() && attempt.exposed {
            self.state.trial_credit = (self.state.trial_credit + 1.0).min(MAX_TRIAL_CREDIT);
        }
    }

    fn record_server_outcome(&mut self, now: Micros, class: usize, concurrency: u32, end: AttemptEnd) {
        let AttemptEnd { server: id, outcome, elapsed, .. } = end;
        let typical = self.state.latencies[class].median.max(1.0);
        let Some(server) = self.state.servers.get_mut(&id) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            server.waiting_since = now;
        }
        let slowness = (elapsed as f64 / typical).min(MAX_SLOWNESS);
        match outcome {
            Outcome::Ok => {
                smooth(&mut server.failure_share, 0.0, RECORD_SMOOTHING);
                let per_attempt = elapsed as f64 / f64::from(concurrency.max(1));
                // Few attempts in flight overstate it, and rejections would keep them few: down fast, up
                // slowly.
                let faster = per_attempt < server.latency_per_attempt;
                let weight = if faster { FASTER_SMOOTHING } else { RECORD_SMOOTHING };
                smooth(&mut server.latency_per_attempt, per_attempt, weight);
                self.state.latencies[class].add(elapsed as f64, MAX_RECENT_LATENCIES);
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::CancelledBeforeSend => {}
            _ => smooth(&mut server.failure_share, 1.0, RECORD_SMOOTHING),
        }
        // A cancelled attempt was at least this slow.
        let slower_than_known = outcome == Outcome::Cancelled && slowness > server.slowness;
        if outcome == Outcome::Ok || slower_than_known {
            smooth(&mut server.slowness, slowness, RECORD_SMOOTHING / 2.0);
        }
    }

    /// A key that the newest build has answered is sticky to it. A good answer may also have been lost:
    /// damaged, late, or written to a connection that fell silent; such a key stays in flight.
    fn record_key_outcome(&mut self, key: u64, attempt: &Attempt, outcome: Outcome) {
        let at_newest = self.state.release.filter(|release| release.build == attempt.to.build);
        let live = at_newest.is_some_and(|release| matches!(release.phase, Phase::Trial | Phase::Released));
        let sticky = self.settings.rollout.sticky_to_new_build && !self.state.sticky_keys.overflowed;
        if !live || !sticky {
            return;
        }
        if outcome == Outcome::Ok {
            self.state.sticky_keys.bind(key);
        }
        let answer_may_be_lost = matches!(outcome, Outcome::Reset | Outcome::Timeout | Outcome::Cancelled);
        if !answer_may_be_lost && !outcome.never_sent() {
            self.state.sticky_keys.settled(key, attempt.sent_at);
        }
    }
}
