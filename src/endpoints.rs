//! The server list: applied as it arrives, and watched again where the watch fails or is silent.

use crate::balancer::Balancer;
use crate::interface::{Action, ListKind, Micros, Phase, ServerEntry, Verdict};
use crate::time::MILLISECOND;

/// Backoff before the list is called for again; doubled for each failed call.
const LIST_RETRY_BASE: Micros = 200 * MILLISECOND;
/// Tenths of the longest poll interval after which a silent watch counts as lost.
const WATCH_SILENCE_TENTHS: Micros = 7;
/// Doublings of the backoff.
const MAX_LIST_RETRY_DOUBLINGS: u32 = 5;

impl Balancer {
    /// Applies a list or changes of it; a failed call only sets when to call again.
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
        let trial_grew = self.state.apply_list(kind, entries, trial.map(|release| release.build));
        self.bind_relisted_keys();
        if trial_grew {
            // A stage is judged with its own servers: faults may show only under load or with time.
            self.start_window(now);
            if self.state.analysis.verdict == Verdict::Promote {
                self.state.analysis.verdict = Verdict::Withdraw;
            }
        }
    }

    /// Backoff with jitter: all balancers share the list service, and its loss hits them together.
    fn schedule_list_retry(&mut self, now: Micros) {
        let failures = (self.state.list.failures + 1).min(MAX_LIST_RETRY_DOUBLINGS);
        self.state.list.failures = failures;
        let backoff = (LIST_RETRY_BASE << failures) as f64 * (0.5 + self.state.random.unit());
        self.state.list.retry_at = Some(now + backoff as Micros);
    }

    /// Subscribes again where a retry is due, or where the watch has been silent for too long: a dropped
    /// subscription may go unnoticed.
    pub(crate) fn renew_list_watch(&mut self, now: Micros, out: &mut Vec<Action>) {
        if !self.settings.subscribes_to_list {
            return;
        }
        let silent_for = now.saturating_sub(self.state.list.heard_at);
        let silent = silent_for > self.settings.rules.poll_interval_max / 10 * WATCH_SILENCE_TENTHS;
        let retry_due = self.state.list.retry_at.is_some_and(|at| at <= now);
        if retry_due || silent {
            self.state.list.retry_at = None;
            self.state.list.heard_at = now;
            out.push(Action::WatchServerList);
        }
    }
}
