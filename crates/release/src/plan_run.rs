//! A plan since its offer: approvals, holds, windows and deadlines.

use crate::Now;
use crate::release::MAX_TICK_SPAN;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use violetseam_plan::{Hold, Micros, Plan, SignOff};

/// A plan since its offer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PlanRun {
    pub plan: Plan,
    /// Since the offer.
    pub elapsed: Micros,
    /// Who approved which wave.
    #[serde(rename = "signed")]
    pub approvals: BTreeMap<String, BTreeSet<String>>,
    /// The plan's hold before the next wave.
    #[serde(rename = "held")]
    pub plan_hold: Option<PlanHold>,
    /// What is left of an operator's hold.
    #[serde(rename = "stopped")]
    pub operator_hold: Option<Micros>,
    /// A window was open at the last event.
    #[serde(rename = "open")]
    pub window_open: bool,
}

/// The state of a hold of the plan's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlanHold {
    /// In force for so long.
    #[serde(rename = "For")]
    Active(Micros),
    /// Ended by a person.
    #[serde(rename = "Left")]
    Ended,
}

/// Why a build is rolled back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RollbackReason {
    Operator(String),
    Proxies,
    ProxiesAfterRelease,
    PlanExpired,
    ApprovalExpired { wave: String },
    WindowClosed { wave: String },
}

impl fmt::Display for RollbackReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RollbackReason::Operator(who) => write!(f, "called back by {who}"),
            RollbackReason::Proxies => f.write_str("called back by the proxies"),
            RollbackReason::ProxiesAfterRelease => {
                f.write_str("called back by the proxies after its release")
            }
            RollbackReason::PlanExpired => f.write_str("it took longer than its plan permits"),
            RollbackReason::ApprovalExpired { wave } => write!(f, "wave {wave:?} was not approved in time"),
            RollbackReason::WindowClosed { wave } => write!(f, "the window closed in wave {wave:?}"),
        }
    }
}

impl PlanRun {
    /// A plan that was just offered.
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

    /// The plan's hold before a wave.
    pub fn hold_before(&self, wave: usize) -> Option<&Hold> {
        let name = &self.plan.waves.get(wave)?.name;
        self.plan.holds.iter().find(|hold| hold.before == *name)
    }

    /// Begins the plan's hold before a wave, if it has one.
    pub fn begin_hold_before(&mut self, wave: usize) {
        self.plan_hold = self.hold_before(wave).map(|_| PlanHold::Active(0));
    }

    /// Whether the plan lets a person end its hold before a wave.
    pub fn may_end_hold(&self, who: &str, wave: usize) -> bool {
        self.hold_before(wave).is_some_and(|hold| hold.leave.iter().any(|name| name == who))
    }

    /// The number of a wave.
    pub fn wave_index(&self, name: &str) -> Option<usize> {
        self.plan.waves.iter().position(|wave| wave.name == name)
    }

    /// Lets a span pass; whether a window or an operator's hold changed with it.
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

    /// Whether a wave may begin, as far as approvals, holds and windows go.
    pub fn may_begin(&self, now: Now, wave: usize) -> bool {
        let Some(name) = self.plan.waves.get(wave).map(|wave| &wave.name) else { return false };
        let mut approvals = self.plan.sign_offs.iter().filter(|sign_off| sign_off.wave == *name);
        self.operator_hold.is_none()
            && !self.is_held_before(wave)
            && approvals.all(|sign_off| self.is_approved(sign_off))
            && self.window_open
            && self.plan.calendar.is_open(now.wall)
    }

    fn is_held_before(&self, wave: usize) -> bool {
        match (self.hold_before(wave), self.plan_hold) {
            (None, _) | (_, Some(PlanHold::Ended)) => false,
            (Some(hold), Some(PlanHold::Active(elapsed))) => hold.at_most.is_none_or(|limit| elapsed < limit),
            (Some(_), None) => true,
        }
    }

    /// Whether enough of those who were asked have approved.
    pub fn is_approved(&self, sign_off: &SignOff) -> bool {
        let Some(approvers) = self.approvals.get(&sign_off.wave) else { return sign_off.count == 0 };
        let given = sign_off.by.iter().filter(|name| approvers.contains(*name)).count();
        given >= sign_off.count
    }

    /// Why the plan cannot go on: its time is over, or an approval did not come in time.
    pub fn expired(&self, begun_waves: usize) -> Option<RollbackReason> {
        if self.elapsed >= self.plan.longest {
            return Some(RollbackReason::PlanExpired);
        }
        let waves_ahead = &self.plan.waves[begun_waves.min(self.plan.waves.len())..];
        let expired = self.plan.sign_offs.iter().find(|sign_off| {
            waves_ahead.iter().any(|wave| wave.name == sign_off.wave)
                && self.elapsed > sign_off.within
                && !self.is_approved(sign_off)
        });
        expired.map(|sign_off| RollbackReason::ApprovalExpired { wave: sign_off.wave.clone() })
    }

    /// Spans after which time alone may decide something.
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
