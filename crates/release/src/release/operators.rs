//! Events from operators: plans, approvals and orders.

use super::Release;
use crate::plan_run::{PlanHold, PlanRun, RollbackReason};
use crate::reply::{Declined, Obsolete, Rejection};
use crate::{Order, Phase};
use violetseam_plan::{Micros, Plan, Power};

/// The plan that approvals and orders apply to: that of the build on trial, or else the plan that waits for
/// its first wave.
struct CurrentRun<'a> {
    run: &'a mut PlanRun,
    /// The index of the first wave that has not begun.
    next_wave: usize,
}

impl Release {
    pub(super) fn offer(&mut self, plan: &Plan) -> Result<bool, Declined> {
        let build = plan.build;
        let newest = self.announcement.build;
        if build == newest && self.announcement.phase != Phase::Withdrawn {
            return Err(Obsolete::IsNewest(build).into());
        }
        if self.rolled_back.contains(&build) {
            return Err(Rejection::WasRolledBack(build).into());
        }
        if build == self.previous_build {
            return Err(Rejection::RunsEverywhere(build).into());
        }
        if self.trial.as_ref().is_some_and(|trial| trial.run.plan.fleet.places != plan.fleet.places) {
            return Err(Rejection::FleetChanged.into());
        }
        if let Some(pending) = &self.pending {
            return Err(if pending.plan.build == build {
                Obsolete::IsPending(build).into()
            } else {
                Rejection::OtherBuildPending(pending.plan.build).into()
            });
        }
        if self.announcement.phase == Phase::Trial {
            return Err(Rejection::OtherBuildOnTrial(newest).into());
        }
        if plan.waves.is_empty() {
            return Err(Rejection::NoWaves.into());
        }
        // The plan waits while another build is rolled back. Otherwise a place would run three builds.
        self.pending = Some(PlanRun::new(plan.clone()));
        Ok(true)
    }

    fn current_run(&mut self) -> Option<CurrentRun<'_>> {
        match (&mut self.trial, &mut self.pending, self.announcement.phase) {
            (Some(trial), _, Phase::Trial) => {
                Some(CurrentRun { run: &mut trial.run, next_wave: trial.wave + 1 })
            }
            (_, Some(pending), _) => Some(CurrentRun { run: pending, next_wave: 0 }),
            _ => None,
        }
    }

    /// Returns the reason for declining an event when there is no current plan.
    fn no_current_plan(&self) -> Obsolete {
        match self.announcement.phase {
            Phase::RollingBack | Phase::Withdrawn => Obsolete::BuildWasRolledBack(self.announcement.build),
            Phase::Trial | Phase::Released => Obsolete::NoCurrentPlan,
        }
    }

    pub(super) fn approve(&mut self, operator: &str, wave: &str) -> Result<bool, Declined> {
        let no_current_plan = self.no_current_plan();
        let CurrentRun { run, next_wave } = self.current_run().ok_or(no_current_plan)?;
        let index = run.wave_index(wave).ok_or_else(|| Rejection::UnknownWave(wave.to_owned()))?;
        if index < next_wave {
            return Err(Obsolete::WaveAlreadyBegun(wave.to_owned()).into());
        }
        let mut sign_offs = run.plan.sign_offs.iter().filter(|sign_off| sign_off.wave == wave);
        let sign_off = sign_offs
            .find(|sign_off| sign_off.by.iter().any(|name| name == operator))
            .ok_or_else(|| Rejection::NotApprover { operator: operator.to_owned(), wave: wave.to_owned() })?;
        if run.elapsed > sign_off.within {
            return Err(Rejection::ApprovalDeadlinePassed.into());
        }
        let newly_approved = run.approvals.entry(wave.to_owned()).or_default().insert(operator.to_owned());
        if newly_approved { Ok(true) } else { Err(Obsolete::AlreadyApproved.into()) }
    }

    pub(super) fn revoke_approval(&mut self, operator: &str, wave: &str) -> Result<bool, Declined> {
        let no_current_plan = self.no_current_plan();
        let CurrentRun { run, next_wave } = self.current_run().ok_or(no_current_plan)?;
        if run.wave_index(wave).is_some_and(|index| index < next_wave) {
            return Err(Obsolete::ApprovalAlreadyUsed(wave.to_owned()).into());
        }
        let was_approved = run.approvals.get_mut(wave).is_some_and(|approvers| approvers.remove(operator));
        if was_approved { Ok(true) } else { Err(Obsolete::NothingToRevoke.into()) }
    }

    pub(super) fn order(&mut self, operator: &str, order: Order) -> Result<bool, Declined> {
        let Some(CurrentRun { run, next_wave }) = self.current_run() else {
            return self.order_after_release(operator, order);
        };
        let may_end_hold = run.may_end_hold(operator, next_wave);
        let (power, order_name) = required_power(order);
        let is_allowed = run.plan.permits(operator, power) || (may_end_hold && order == Order::Resume);
        if !is_allowed {
            return Err(Rejection::NotAllowed { operator: operator.to_owned(), order: order_name }.into());
        }
        match order {
            Order::Hold(span) => begin_operator_hold(run, span)?,
            Order::Resume => end_holds(run, may_end_hold)?,
            Order::Back if self.announcement.phase == Phase::Trial => {
                self.begin_rollback(&RollbackReason::OperatorOrder(operator.to_owned()));
            }
            Order::Back => self.pending = None,
            Order::Skip => self.skip_soak()?,
        }
        Ok(true)
    }

    /// Applies an order while no plan is current. A released build can still be rolled back if the build
    /// before it is known.
    fn order_after_release(&mut self, operator: &str, order: Order) -> Result<bool, Declined> {
        if order != Order::Back || self.announcement.phase != Phase::Released {
            return Err(self.no_current_plan().into());
        }
        let Some(trial) = &self.trial else { return Err(self.no_current_plan().into()) };
        if !trial.run.plan.permits(operator, Power::Back) {
            return Err(Rejection::NotAllowed { operator: operator.to_owned(), order: "back" }.into());
        }
        if self.previous_build == self.announcement.build {
            return Err(self.no_current_plan().into());
        }
        self.begin_rollback(&RollbackReason::OperatorOrder(operator.to_owned()));
        Ok(true)
    }

    /// Treats the soak time of the current wave as complete.
    fn skip_soak(&mut self) -> Result<(), Obsolete> {
        let is_on_trial = self.announcement.phase == Phase::Trial;
        let trial = self.trial.as_mut().filter(|_| is_on_trial).ok_or(Obsolete::NotOnTrial)?;
        let soak = trial.current_wave().soak;
        if trial.soaked >= soak {
            return Err(Obsolete::SoakComplete);
        }
        trial.soaked = soak;
        Ok(())
    }
}

/// Returns the power that the plan must give an operator for an order, and the order's name in messages.
fn required_power(order: Order) -> (Power, &'static str) {
    match order {
        Order::Hold(_) => (Power::Hold, "hold"),
        Order::Resume => (Power::Resume, "resume"),
        Order::Back => (Power::Back, "back"),
        Order::Skip => (Power::Skip, "skip"),
    }
}

/// Begins an operator's hold.
fn begin_operator_hold(run: &mut PlanRun, span: Micros) -> Result<(), Rejection> {
    if span == 0 || span > run.plan.longest {
        return Err(Rejection::InvalidHold);
    }
    run.operator_hold = Some(span);
    Ok(())
}

/// Ends an operator's hold, and also the plan's hold if the plan permits this operator to end it.
fn end_holds(run: &mut PlanRun, may_end_hold: bool) -> Result<(), Obsolete> {
    let ends_operator_hold = run.operator_hold.take().is_some();
    let ends_plan_hold = may_end_hold && matches!(run.plan_hold, Some(PlanHold::Active(_)));
    if ends_plan_hold {
        run.plan_hold = Some(PlanHold::Ended);
    }
    if ends_operator_hold || ends_plan_hold { Ok(()) } else { Err(Obsolete::NothingToResume) }
}
