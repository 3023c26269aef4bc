//! Handles the ends of attempts: what they reveal about lateness, servers, builds and sticky keys.

use crate::analysis::{AttemptContext, UNHINTED_WORK};
use crate::balancer::Balancer;
use crate::interface::{Action, AttemptEnd, Micros, Outcome, Phase, Request};
use crate::retry::MAX_RETRY_BUDGET;
use crate::slow_start::LOAD_WINDOW;
use crate::state::{Attempt, MAX_TRIAL_CREDIT, smooth};

/// The number of recent latencies that are kept for each class.
const MAX_RECENT_LATENCIES: usize = 100;
/// The weight of the newest outcome in a server's record.
const RECORD_SMOOTHING: f64 = 0.15;
/// The weight of a response that was faster than the server's record.
const FASTER_SMOOTHING: f64 = 0.5;
/// The weight of the newest outcome in the shares of unanswered attempts.
const UNANSWERED_SMOOTHING: f64 = 0.1;
/// Slowness, the ratio of a latency to the typical one, is limited to this value in a server's record.
const MAX_SLOWNESS: f64 = 10.0;

impl Balancer {
    pub(crate) fn on_attempt_ended(&mut self, now: Micros, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(request) = self.state.requests.get_mut(&end.request) else { return };
        let Some(attempt) = request.attempts.get_mut(end.attempt) else { return };
        if attempt.ended.replace(end.outcome).is_some() {
            return;
        }
        let attempt = attempt.clone();
        request.waiting_since = now;
        let client_request = request.request;
        let cost = request.cost;
        let work = client_request.cost_hint.unwrap_or(UNHINTED_WORK).max(1) as f64;
        self.record_answered(&client_request, attempt.sent_at, end.outcome);
        self.refund_unsent_attempt(&attempt, end);
        self.record_server_outcome(now, client_request.class, attempt.concurrency, end);
        self.record_build_outcome(
            &AttemptContext { attempt: &attempt, class: client_request.class, work },
            end,
        );
        if end.outcome == Outcome::Ok && !attempt.warming_up {
            self.state.served_cost.add(now, cost, LOAD_WINDOW);
        }
        if let Some(key) = client_request.key {
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

    /// Records whether a server answered an attempt in its client's time. An attempt that timed out or was
    /// turned away counts only if its client had as long as answers of the class usually take: one that
    /// waits for less says nothing about the servers.
    ///
    /// With little traffic the queue of a single server is not visible to this balancer, so the shares cover
    /// all servers together. Each lane has its own, so that one with a cause of its own costs no other.
    fn record_answered(&mut self, request: &Request, sent_at: Micros, outcome: Outcome) {
        let time_given = request.deadline.saturating_sub(sent_at) as f64;
        let had_enough_time = time_given >= self.state.latencies[request.class].median;
        let unanswered = match outcome {
            Outcome::Ok => 0.0,
            Outcome::Rejected | Outcome::Timeout if had_enough_time => 1.0,
            _ => return,
        };
        let lane = self.lane(request);
        let lane_share = self.state.unanswered_share_by_lane.entry(lane).or_default();
        smooth(lane_share, unanswered, UNANSWERED_SMOOTHING);
        smooth(&mut self.state.unanswered_share, unanswered, UNANSWERED_SMOOTHING);
    }

    /// Refunds what was taken for an attempt that was never sent.
    fn refund_unsent_attempt(&mut self, attempt: &Attempt, end: AttemptEnd) {
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
        let typical_latency = self.state.latencies[class].known_median();
        let Some(server) = self.state.servers.get_mut(&id) else { return };
        server.in_flight = server.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            server.waiting_since = now;
        }
        let latency_per_attempt = elapsed as f64 / f64::from(concurrency.max(1));
        // Without a typical latency nothing is slow.
        let slowness =
            typical_latency.map_or(1.0, |typical| (elapsed as f64 / typical.max(1.0)).min(MAX_SLOWNESS));
        match outcome {
            Outcome::Ok => {
                smooth(&mut server.failure_share, 0.0, RECORD_SMOOTHING);
                // With few attempts in flight the estimate is too high, and the rejections that follow would
                // keep them few. So the estimate falls quickly and rises slowly.
                let faster = latency_per_attempt < server.latency_per_attempt;
                let weight = if faster { FASTER_SMOOTHING } else { RECORD_SMOOTHING };
                smooth(&mut server.latency_per_attempt, latency_per_attempt, weight);
                self.state.latencies[class].add(elapsed as f64, MAX_RECENT_LATENCIES);
            }
            Outcome::Cancelled | Outcome::NotSent | Outcome::CancelledBeforeSend => {}
            _ => smooth(&mut server.failure_share, 1.0, RECORD_SMOOTHING),
        }
        // An attempt that timed out would have taken at least this long.
        if outcome == Outcome::Timeout && latency_per_attempt > server.latency_per_attempt {
            smooth(&mut server.latency_per_attempt, latency_per_attempt, RECORD_SMOOTHING);
        }
        // A cancelled attempt would have taken at least this long.
        let slower_than_recorded = outcome == Outcome::Cancelled && slowness > server.slowness;
        if outcome == Outcome::Ok || slower_than_recorded {
            smooth(&mut server.slowness, slowness, RECORD_SMOOTHING / 2.0);
        }
    }

    /// Makes a key sticky to the newest build once that build has answered it. An attempt that was reset,
    /// timed out or was cancelled may have been answered too: its response may have been damaged, late, or
    /// written to a connection that had fallen silent. The key of such an attempt is kept as in flight.
    fn record_key_outcome(&mut self, key: u64, attempt: &Attempt, outcome: Outcome) {
        let newest_release = self.state.release.filter(|release| release.build == attempt.to.build);
        let build_is_live =
            newest_release.is_some_and(|release| matches!(release.phase, Phase::Trial | Phase::Released));
        let stickiness_applies =
            self.settings.rollout.sticky_to_new_build && !self.state.sticky_keys.overflowed;
        if !build_is_live || !stickiness_applies {
            return;
        }
        if outcome == Outcome::Ok {
            self.state.sticky_keys.bind(key);
        }
        let answer_may_be_lost = matches!(outcome, Outcome::Reset | Outcome::Timeout | Outcome::Cancelled);
        if !answer_may_be_lost && !outcome.never_sent() {
            self.state.sticky_keys.remove_attempt(key, attempt.sent_at);
        }
    }
}
