//! The progress of a submitted plan: approvals, holds, calendar windows and deadlines.

use crate::Now;
use crate::release::MAX_TICK_SPAN;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use violetseam_plan::{Hold, Micros, Plan, SignOff};

/// A submitted plan and its progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlanRun {
    pub plan: Plan,
    /// The time since the plan was submitted.
    pub elapsed: Micros,
    /// The operators who have approved each wave, by the wave's name.
    #[serde(rename = "signed")]
    pub approvals: BTreeMap<String, BTreeSet<String>>,
    /// The hold that the plan defines before the next wave; `None` if it defines none.
    #[serde(rename = "held")]
    pub plan_hold: Option<PlanHold>,
    /// The remaining time of an operator's hold; `None` if no operator holds the release.
    #[serde(rename = "stopped")]
    pub operator_hold: Option<Micros>,
    /// Whether the plan's calendar was open at the last event.
    #[serde(rename = "open")]
    pub window_open: bool,
}

/// The state of a hold that the plan defines before a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlanHold {
    /// The hold is in force and has been for this long.
    #[serde(rename = "For")]
    Active(Micros),
    /// An operator has ended the hold.
    #[serde(rename = "Left")]
    Ended,
}

/// The reason for rolling a build back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RollbackReason {
    OperatorOrder(String),
    Votes,
    VotesOnReleasedBuild,
    PlanExpired,
    ApprovalExpired { wave: String },
    WindowClosed { wave: String },
}

impl fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RollbackReason::OperatorOrder(operator) => write!(f, "called back by {operator}"),
            RollbackReason::Votes => f.write_str("called back by the proxies"),
            RollbackReason::VotesOnReleasedBuild => {
                f.write_str("called back by the proxies after its release")
            }
            RollbackReason::PlanExpired => f.write_str("it took longer than its plan permits"),
            RollbackReason::ApprovalExpired { wave } => write!(f, "wave {wave:?} was not approved in time"),
            RollbackReason::WindowClosed { wave } => write!(f, "the window closed in wave {wave:?}"),
        }
    }
}

impl PlanRun {
    /// Starts the run of a plan that was just submitted.
    pub fn new(plan: Plan) -> Self {
        let mut run = PlanRun {
            plan,
            elapsed: 0,
            approvals: BTreeMap::new(),
            plan_hold: None,
            operator_hold: None,
            window_open: false,
        };
        run.begin_hold_before(0);
        run
    }

    /// Returns the hold that the plan defines before a wave, if any.
    pub fn hold_before(&self, wave: usize) -> Option<&Hold> {
        let name = &self.plan.waves.get(wave)?.name;
        self.plan.holds.iter().find(|hold| hold.before == *name)
    }

    /// Begins the hold that the plan defines before a wave. Without one, no hold of the plan is in force.
    pub fn begin_hold_before(&mut self, wave: usize) {
        self.plan_hold = self.hold_before(wave).map(|_| PlanHold::Active(0));
    }

    /// Returns whether the plan permits this operator to end its hold before a wave.
    pub fn may_end_hold(&self, operator: &str, wave: usize) -> bool {
        self.hold_before(wave).is_some_and(|hold| hold.leave.iter().any(|name| name == operator))
    }

    /// Returns the index of a wave in the plan.
    pub fn wave_index(&self, name: &str) -> Option<usize> {
        self.plan.waves.iter().position(|wave| wave.name == name)
    }

    /// Counts `span` against the plan's limit and its holds. Returns whether an operator's hold has expired
    /// or the calendar has opened or closed.
    pub fn advance(&mut self, now: Now, span: Micros) -> bool {
        self.elapsed += span;
        if let Some(remaining) = &mut self.operator_hold {
            *remaining = remaining.saturating_sub(span);
        }
        let hold_expired = self.operator_hold == Some(0);
        if hold_expired {
            self.operator_hold = None;
        }
        if let Some(PlanHold::Active(elapsed)) = &mut self.plan_hold {
            *elapsed += span;
        }
        let was_open = self.window_open;
        self.window_open = self.plan.calendar.is_open(now.wall);
        hold_expired || self.window_open != was_open
    }

    /// Returns whether holds, approvals and the calendar permit a wave to begin.
    pub fn may_begin(&self, now: Now, wave: usize) -> bool {
        let Some(name) = self.plan.waves.get(wave).map(|wave| &wave.name) else { return false };
        let mut sign_offs = self.plan.sign_offs.iter().filter(|sign_off| sign_off.wave == *name);
        self.operator_hold.is_none()
            && !self.is_held_before(wave)
            && sign_offs.all(|sign_off| self.is_approved(sign_off))
            && self.window_open
            && self.plan.calendar.is_open(now.wall)
    }

    /// Returns whether the plan's hold before a wave is still in force.
    fn is_held_before(&self, wave: usize) -> bool {
        match (self.hold_before(wave), self.plan_hold) {
            (None, _) | (_, Some(PlanHold::Ended)) => false,
            (Some(hold), Some(PlanHold::Active(elapsed))) => hold.at_most.is_none_or(|limit| elapsed < limit),
            (Some(_), None) => true,
        }
    }

    /// Returns whether the required number of the named approvers have approved the wave.
    pub fn is_approved(&self, sign_off: &SignOff) -> bool {
        let Some(approvers) = self.approvals.get(&sign_off.wave) else { return sign_off.count == 0 };
        let approval_count = sign_off.by.iter().filter(|name| approvers.contains(*name)).count();
        approval_count >= sign_off.count
    }

    /// Returns why the plan must end, if it must: its time limit has passed, or the deadline of an approval
    /// for a wave that has not begun. `begun_waves` is the number of waves that have begun.
    pub fn expiry(&self, begun_waves: usize) -> Option<RollbackReason> {
        if self.elapsed >= self.plan.longest {
            return Some(RollbackReason::PlanExpired);
        }
        let remaining_waves = &self.plan.waves[begun_waves.min(self.plan.waves.len())..];
        let overdue = self.plan.sign_offs.iter().find(|sign_off| {
            remaining_waves.iter().any(|wave| wave.name == sign_off.wave)
                && self.elapsed > sign_off.within
                && !self.is_approved(sign_off)
        });
        overdue.map(|sign_off| RollbackReason::ApprovalExpired { wave: sign_off.wave.clone() })
    }

    /// Returns the times from now until each limit, hold or calendar change that may cause a decision without
    /// another event.
    pub fn due_spans(&self, now: Now, next_wave: usize) -> Vec<Micros> {
        let mut spans = vec![self.plan.longest.saturating_sub(self.elapsed)];
        spans.extend(self.operator_hold);
        if let (Some(PlanHold::Active(elapsed)), Some(hold)) = (self.plan_hold, self.hold_before(next_wave)) {
            spans.extend(hold.at_most.map(|limit| limit.saturating_sub(elapsed)));
        }
        let window_change = self.plan.calendar.next_change(now.wall, now.wall + 2 * MAX_TICK_SPAN);
        spans.extend(window_change.map(|at| at - now.wall));
        spans
    }
}
