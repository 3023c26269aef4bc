//! The scripted events other than votes.

use super::Simulator;
use crate::script::{Approval, ClockStep, ControllerOutage, OperatorOrder, PlaceLoss, Script};
use std::collections::VecDeque;
use violetseam_plan::{Micros, Power};
use violetseam_release::{Event, Order, Reply};
use violetseam_starlark_config::ScriptDuration;

/// A scripted event.
#[derive(Clone, Copy, Debug)]
pub(super) enum ScriptedEvent<'a> {
    Approve(&'a Approval),
    WithdrawApproval(&'a Approval),
    Order(&'a OperatorOrder),
    LosePlace(&'a PlaceLoss),
    SetClock(&'a ClockStep),
    ControllerOutage(&'a ControllerOutage),
}

impl ScriptedEvent<'_> {
    fn at(self) -> Micros {
        let at = match self {
            ScriptedEvent::Approve(approval) | ScriptedEvent::WithdrawApproval(approval) => approval.at,
            ScriptedEvent::Order(order) => order.at,
            ScriptedEvent::LosePlace(loss) => loss.at,
            ScriptedEvent::SetClock(step) => step.at,
            ScriptedEvent::ControllerOutage(outage) => outage.at,
        };
        at.as_micros()
    }
}

/// A scripted event and its time, in microseconds since the offer.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScheduledEvent<'a> {
    pub at: Micros,
    pub event: ScriptedEvent<'a>,
}

/// Returns all scripted events but votes in the order of time. Events at the same time are in the order of
/// their kinds below, and within a kind in the order of the script.
pub(super) fn schedule(script: &Script) -> VecDeque<ScheduledEvent<'_>> {
    let mut events: Vec<ScriptedEvent<'_>> = Vec::new();
    events.extend(script.approvals.iter().map(ScriptedEvent::Approve));
    events.extend(script.withdrawn_approvals.iter().map(ScriptedEvent::WithdrawApproval));
    events.extend(script.orders.iter().map(ScriptedEvent::Order));
    events.extend(script.place_losses.iter().map(ScriptedEvent::LosePlace));
    events.extend(script.clock_steps.iter().map(ScriptedEvent::SetClock));
    events.extend(script.outages.iter().map(ScriptedEvent::ControllerOutage));
    events.sort_by_key(|event| event.at());
    events.into_iter().map(|event| ScheduledEvent { at: event.at(), event }).collect()
}

/// Whether a rejection is added to the timeline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejections {
    Logged,
    Ignored,
}

impl<'a> Simulator<'a> {
    /// Removes and returns the next scripted event, if it is due.
    pub(super) fn take_scripted_event(&mut self) -> Option<ScriptedEvent<'a>> {
        let is_due = self.scripted_events.front().is_some_and(|scheduled| scheduled.at <= self.elapsed);
        if !is_due {
            return None;
        }
        self.scripted_events.pop_front().map(|scheduled| scheduled.event)
    }

    pub(super) fn apply_scripted_event(&mut self, event: ScriptedEvent<'_>) {
        match event {
            ScriptedEvent::Approve(approval) => self.approve(approval),
            ScriptedEvent::WithdrawApproval(approval) => self.withdraw_approval(approval),
            ScriptedEvent::Order(order) => self.order(order),
            ScriptedEvent::LosePlace(loss) => self.lose_place(loss),
            ScriptedEvent::SetClock(step) => self.set_clock(step),
            ScriptedEvent::ControllerOutage(outage) => self.simulate_outage(outage),
        }
    }

    fn approve(&mut self, Approval { who, wave, .. }: &Approval) {
        let event = Event::Sign { who: who.clone(), wave: wave.clone() };
        self.apply_and_log(&format!("{who} approves wave {wave:?}"), event, Rejections::Logged);
    }

    fn withdraw_approval(&mut self, Approval { who, wave, .. }: &Approval) {
        let event = Event::Unsign { who: who.clone(), wave: wave.clone() };
        self.apply_and_log(
            &format!("{who} takes the approval of wave {wave:?} back"),
            event,
            Rejections::Logged,
        );
    }

    fn order(&mut self, scripted: &OperatorOrder) {
        let order = match scripted.what {
            Power::Hold => {
                Order::Hold(scripted.duration.map_or(self.plan.longest, ScriptDuration::as_micros))
            }
            Power::Resume => Order::Resume,
            Power::Back => Order::Back,
            Power::Skip => Order::Skip,
        };
        let who = scripted.who.clone();
        let description = format!("{who} orders {}", format!("{:?}", scripted.what).to_lowercase());
        let rejections = if scripted.ignores_rejection { Rejections::Ignored } else { Rejections::Logged };
        self.apply_and_log(&description, Event::Order { who, order }, rejections);
    }

    /// Applies a person's action to the release, and adds it to the timeline. A rejected action is added with
    /// the reason, unless rejections are ignored. An obsolete one is not added.
    fn apply_and_log(&mut self, description: &str, event: Event, rejections: Rejections) {
        match self.apply(event) {
            Reply::Accepted => self.log(description),
            Reply::Obsolete(_) => {}
            Reply::Rejected(_) if rejections == Rejections::Ignored => {}
            Reply::Rejected(reason) => self.log(format!("{description}: refused: {reason}")),
        }
    }

    fn lose_place(&mut self, loss: &PlaceLoss) {
        self.log(format!("place {} is lost", loss.place));
        let until = self.elapsed + loss.duration.as_micros();
        let reports = self.platform.lose_place(loss.place, until);
        self.report_places(reports);
    }

    fn set_clock(&mut self, step: &ClockStep) {
        self.wall_clock_offset += step.ahead.as_micros() as i64 - step.back.as_micros() as i64;
        self.log("the controller's clock is set");
    }

    /// Advances the clock over an outage of the controller, which then resumes with its persisted state.
    fn simulate_outage(&mut self, outage: &ControllerOutage) {
        self.log("no controller runs");
        self.elapsed += outage.duration.as_micros();
        self.release = self.persisted_release.clone();
        self.apply(Event::Started);
        let reports = self.platform.advance(self.elapsed);
        self.report_places(reports);
        self.log("a controller runs again");
    }
}
