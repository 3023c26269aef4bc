//! The end of this process's part: permissions to send, the hand-over to a successor and the shutdown.

use super::deadlines::TimerKind;
use super::{Engine, LocalResponse};
use violetseam::balancer::Balancer;
use violetseam::interface::{Event, Micros, RequestId};
use violetseam::lease::{ListLease, SendPermissions, ShutdownSchedule};

impl Engine {
    /// The decision module as a process that takes over will have it.
    pub fn successor(&self, seed: u64) -> Balancer {
        self.module.successor(seed)
    }

    /// Suspends new attempts, or resumes them: while suspended, each attempt that the decision module asks for
    /// ends as not sent. After a hand-over the successor's module counts exposure and the load of servers that
    /// warm up, and nothing may be sent that it cannot know of.
    pub fn suspend_attempts(&mut self, suspended: bool) {
        self.permissions.set_handed_over(suspended);
    }

    /// Limits the list's use from now on: it is used only while this lease holds. Before the first request.
    pub fn set_list_lease(&mut self, now: Micros, lease: ListLease) {
        self.permissions.list = lease;
        self.feed(now, Event::ListLease { until: lease.until() });
    }

    /// Changes the lease on the list.
    pub fn update_list_lease(&mut self, now: Micros, change: impl FnOnce(&mut ListLease)) {
        let before = self.permissions.list.until();
        change(&mut self.permissions.list);
        let until = self.permissions.list.until();
        if until != before {
            self.feed(now, Event::ListLease { until });
        }
    }

    /// What this process may do now.
    pub fn permissions(&self) -> &SendPermissions {
        &self.permissions
    }

    /// The process is shutting down: nothing is sent after, and each request has its final answer by, the times that
    /// are returned. They are earlier ones where a shutdown had begun before.
    pub fn begin_shutdown(&mut self, now: Micros, schedule: ShutdownSchedule) -> ShutdownSchedule {
        let schedule = self.permissions.begin_shutdown(schedule);
        let at = schedule.answer_by;
        let mut shortened = Vec::new();
        for (&id, request) in &mut self.requests {
            if request.deadline <= at {
                continue;
            }
            request.deadline = at;
            shortened.push(TimerKind::RequestOverdue(id));
            for (number, attempt) in request.attempts.iter_mut().enumerate() {
                if attempt.cut_at > at {
                    attempt.cut_at = at;
                    shortened.push(TimerKind::AttemptTimeout { request: id, attempt: number });
                }
            }
        }
        // The map's order is random.
        shortened.sort_unstable();
        for kind in shortened {
            self.schedule(at, kind);
        }
        self.feed(now, Event::ShutdownAt { at });
        schedule
    }

    /// The process ends: each request without a final answer fails, and the decision module hears that its client
    /// has disconnected.
    pub fn fail_pending_requests(&mut self, now: Micros) {
        let pending = self.requests.iter().filter(|(_, request)| request.awaits_response());
        let mut ids: Vec<RequestId> = pending.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        for id in ids {
            self.respond(id, LocalResponse::Failed { timed_out: true });
            self.feed(now, Event::ClientDisconnected { request: id });
        }
    }
}
