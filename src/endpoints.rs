//! The server list: applies each update, and opens the watch again when it has failed or fallen silent.

use crate::balancer::Balancer;
use crate::interface::{Action, ListKind, Micros, Phase, ServerEntry, Verdict};
use crate::time::MILLISECOND;

/// The base of the backoff before the list is requested again; it doubles with each failed call.
const LIST_RETRY_BASE: Micros = 200 * MILLISECOND;
/// A watch counts as lost after it has been silent for this many tenths of the longest permitted poll
/// interval.
const WATCH_SILENCE_TENTHS: Micros = 7;
/// The backoff doubles at most this many times.
const MAX_LIST_RETRY_DOUBLINGS: u32 = 5;

impl Balancer {
    /// Applies a whole list or a delta. A failed call only schedules the next one.
    pub(crate) fn on_server_list(&mut self, now: Micros, kind: ListKind, entries: &[ServerEntry]) {
        if kind == ListKind::Failed {
            self.schedule_list_retry(now);
            return;
        }
        if kind != ListKind::Cached {
            self.state.list.heard_at = now;
            self.state.list.failures = 0;
            self.state.list.retry_at = None;
        }
        let trial = self.state.release.filter(|release| release.phase == Phase::Trial);
        let trial_gained_servers = self.state.apply_list(kind, entries, trial.map(|release| release.build));
        self.bind_relisted_keys();
        self.state.check_waiting_requests(now);
        if trial_gained_servers {
            // The evidence must come from all servers that the stage has now, because some faults show only
            // under load or after a while. The window starts again, and a vote to promote is withdrawn.
            self.start_window(now);
            if self.state.analysis.verdict == Verdict::Promote {
                self.state.analysis.verdict = Verdict::Withdraw;
            }
        }
    }

    /// Schedules the next call for the list after a backoff with jitter: all balancers use the same discovery
    /// service, and an outage of it hits all of them at the same time.
    fn schedule_list_retry(&mut self, now: Micros) {
        let failures = (self.state.list.failures + 1).min(MAX_LIST_RETRY_DOUBLINGS);
        self.state.list.failures = failures;
        let backoff = (LIST_RETRY_BASE << failures) as f64 * (0.5 + self.state.random.unit());
        self.state.list.retry_at = Some(now + backoff as Micros);
    }

    /// Subscribes again when a retry is due or the watch has been silent for too long, because a dropped
    /// subscription may go unnoticed.
    pub(crate) fn renew_list_watch(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.settings.subscribes_to_list {
            return;
        }
        let silent_for = now.saturating_sub(self.state.list.heard_at);
        let watch_is_silent = silent_for > self.settings.rules.poll_interval_max / 10 * WATCH_SILENCE_TENTHS;
        let retry_due = self.state.list.retry_at.is_some_and(|at| at <= now);
        if retry_due || watch_is_silent {
            self.state.list.retry_at = None;
            self.state.list.heard_at = now;
            out.push(Action::WatchServerList);
        }
    }
}
