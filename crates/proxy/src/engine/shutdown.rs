//! Permissions to send, the hand-over to a successor process, and the shutdown of this process.

use super::deadlines::TimerKind;
use super::{Engine, LocalResponse};
use violetseam::balancer::Balancer;
use violetseam::interface::{Event, Micros, RequestId};
use violetseam::lease::{ListLease, SendPermissions, ShutdownSchedule};

impl Engine {
    /// The decision module for a process that takes over; see [`Balancer::successor`].
    pub fn successor(&self, seed: u64) -> Balancer {
        self.module.successor(seed)
    }

    /// Suspends new attempts, or resumes them. While they are suspended, each attempt that the decision
    /// module asks for ends as not sent. After a hand-over, the successor's module counts the exposure of
    /// builds and the load of servers that are warming up, so this process must send nothing that the
    /// successor cannot know of.
    pub fn suspend_attempts(&mut self, suspended: bool) {
        self.permissions.set_handed_over(suspended);
    }

    /// Limits the use of the server list to the time of this lease. Must be called before the first request.
    pub fn set_list_lease(&mut self, now: Micros, lease: ListLease) {
        self.permissions.list = lease;
        self.feed(now, Event::ListLease { until: lease.until() });
    }

    /// Changes the lease on the server list, and tells the decision module if its end has moved.
    pub fn update_list_lease(&mut self, now: Micros, change: impl FnOnce(&mut ListLease)) {
        let before = self.permissions.list.until();
        change(&mut self.permissions.list);
        let until = self.permissions.list.until();
        if until != before {
            self.feed(now, Event::ListLease { until });
        }
    }

    /// What limits the requests that this process may send now.
    pub fn permissions(&self) -> &SendPermissions {
        &self.permissions
    }

    /// Begins the shutdown of the process and returns the schedule in force. Each request gets its final
    /// response by the schedule's `answer_by`, and nothing is sent after it. If a shutdown has begun before,
    /// the earlier schedule stays in force.
    pub fn begin_shutdown(&mut self, now: Micros, schedule: ShutdownSchedule) -> ShutdownSchedule {
        let schedule = self.permissions.begin_shutdown(schedule);
        let answer_by = schedule.answer_by;
        let mut moved_deadlines = Vec::new();
        for (&id, request) in &mut self.requests {
            if request.deadline <= answer_by {
                continue;
            }
            request.deadline = answer_by;
            moved_deadlines.push(TimerKind::RequestOverdue(id));
            for (number, attempt) in request.attempts.iter_mut().enumerate() {
                if attempt.timeout_at > answer_by {
                    attempt.timeout_at = answer_by;
                    moved_deadlines.push(TimerKind::AttemptTimeout { request: id, attempt: number });
                }
            }
        }
        // The map's order is random; sorting makes the order of the deadlines deterministic.
        moved_deadlines.sort_unstable();
        for kind in moved_deadlines {
            self.schedule(answer_by, kind);
        }
        self.feed(now, Event::ShutdownAt { at: answer_by });
        schedule
    }

    /// Fails each request without a final response, as the process is about to exit. For the decision module
    /// its client has disconnected.
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
