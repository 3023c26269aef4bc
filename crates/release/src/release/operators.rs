//! Offers, approvals and orders of operators.

use super::Release;
use crate::plan_run::{PlanHold, PlanRun, RollbackReason};
use crate::reply::{Declined, Obsolete, Rejection};
use crate::{Order, Phase};
use violetseam_plan::{Micros, Plan, Power};

/// The plan that approvals and orders are about: the one on trial, else the one that waits for its first wave.
struct CurrentRun<'a> {
    run: &'a mut PlanRun,
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
            return Err(Rejection::IsInUse(build).into());
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
        // It waits while another one is rolled back: a place would run three builds.
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

    /// Why there is no current plan.
    fn nothing_under_way(&self) -> Obsolete {
        match self.announcement.phase {
            Phase::RollingBack | Phase::Withdrawn => Obsolete::BuildWasRolledBack(self.announcement.build),
            Phase::Trial | Phase::Released => Obsolete::NothingUnderWay,
        }
    }

    pub(super) fn approve(&mut self, who: &str, wave: &str) -> Result<bool, Declined> {
        let nothing_under_way = self.nothing_under_way();
        let CurrentRun { run, next_wave } = self.current_run().ok_or(nothing_under_way)?;
        let index = run.wave_index(wave).ok_or_else(|| Rejection::UnknownWave(wave.to_owned()))?;
        if index < next_wave {
            return Err(Obsolete::WaveHasBegun(wave.to_owned()).into());
        }
        let mut sign_offs = run.plan.sign_offs.iter().filter(|sign_off| sign_off.wave == wave);
        let sign_off = sign_offs
            .find(|sign_off| sign_off.by.iter().any(|name| name == who))
            .ok_or_else(|| Rejection::NotAnApprover { who: who.to_owned(), wave: wave.to_owned() })?;
        if run.elapsed > sign_off.within {
            return Err(Rejection::ApprovalDeadlinePassed.into());
        }
        let is_new = run.approvals.entry(wave.to_owned()).or_default().insert(who.to_owned());
        if is_new { Ok(true) } else { Err(Obsolete::AlreadyApproved.into()) }
    }

    pub(super) fn revoke_approval(&mut self, who: &str, wave: &str) -> Result<bool, Declined> {
        let nothing_under_way = self.nothing_under_way();
        let CurrentRun { run, next_wave } = self.current_run().ok_or(nothing_under_way)?;
        if run.wave_index(wave).is_some_and(|index| index < next_wave) {
            return Err(Obsolete::ApprovalWasUsed(wave.to_owned()).into());
        }
        let was_approved = run.approvals.get_mut(wave).is_some_and(|approvers| approvers.remove(who));
        if was_approved { Ok(true) } else { Err(Obsolete::NoApproval.into()) }
    }

    pub(super) fn order(&mut self, who: &str, order: Order) -> Result<bool, Declined> {
        let Some(CurrentRun { run, next_wave }) = self.current_run() else {
            return self.order_after_release(who, order);
        };
        let may_end_hold = run.may_end_hold(who, next_wave);
        let (power, name) = power_of(order);
        let is_allowed = run.plan.permits(who, power) || (may_end_hold && order == Order::Resume);
        if !is_allowed {
            return Err(Rejection::NotAllowed { who: who.to_owned(), order: name }.into());
        }
        match order {
            Order::Hold(span) => hold(run, span)?,
            Order::Resume => resume(run, may_end_hold)?,
            Order::Back if self.announcement.phase == Phase::Trial => {
                self.begin_rollback(&RollbackReason::Operator(who.to_owned()));
            }
            Order::Back => self.pending = None,
            Order::Skip => self.skip_soak()?,
        }
        Ok(true)
    }

    /// A build that runs everywhere can still be rolled back, while the one before it is known.
    fn order_after_release(&mut self, who: &str, order: Order) -> Result<bool, Declined> {
        if order != Order::Back || self.announcement.phase != Phase::Released {
            return Err(self.nothing_under_way().into());
        }
        let Some(trial) = &self.trial else { return Err(self.nothing_under_way().into()) };
        if !trial.run.plan.permits(who, Power::Back) {
            return Err(Rejection::NotAllowed { who: who.to_owned(), order: "back" }.into());
        }
        if self.previous_build == self.announcement.build {
            return Err(self.nothing_under_way().into());
        }
        self.begin_rollback(&RollbackReason::Operator(who.to_owned()));
        Ok(true)
    }

    /// Counts the rest of the current wave's soak as done.
    fn skip_soak(&mut self) -> Result<(), Obsolete> {
        let is_on_trial = self.announcement.phase == Phase::Trial;
        let trial = self.trial.as_mut().filter(|_| is_on_trial).ok_or(Obsolete::NotOnTrial)?;
        let soak = trial.current_wave().soak;
        if trial.soaked >= soak {
            return Err(Obsolete::HasSoaked);
        }
        trial.soaked = soak;
        Ok(())
    }
}

/// The power that an order needs, and its name in messages.
fn power_of(order: Order) -> (Power, &'static str) {
    match order {
        Order::Hold(_) => (Power::Hold, "hold"),
        Order::Resume => (Power::Resume, "resume"),
        Order::Back => (Power::Back, "back"),
        Order::Skip => (Power::Skip, "skip"),
    }
}

fn hold(run: &mut PlanRun, span: Micros) -> Result<(), Rejection> {
    if span == 0 || span > run.plan.longest {
        return Err(Rejection::InvalidHold);
    }
    run.operator_hold = Some(span);
    Ok(())
}

/// Ends an operator's hold, and the plan's hold if this person may end that.
fn resume(run: &mut PlanRun, may_end_hold: bool) -> Result<(), Obsolete> {
    let ends_operator_hold = run.operator_hold.take().is_some();
    let ends_plan_hold = may_end_hold && matches!(run.plan_hold, Some(PlanHold::Active(_)));
    if ends_plan_hold {
        run.plan_hold = Some(PlanHold::Ended);
    }
    if ends_operator_hold || ends_plan_hold { Ok(()) } else { Err(Obsolete::NothingToResume) }
}
