//! The state machine of a release.
//!
//! - `time.rs`: accounting of the time between events and across restarts
//! - `operators.rs`: operators' plans, approvals and orders
//! - `reports.rs`: votes from proxies and place reports from the platform
//! - `progress.rs`: the start of waves, and rollback
//! - `status.rs`: the status description for operators

mod operators;
mod progress;
mod reports;
mod status;
mod time;

use crate::places::Places;
use crate::plan_run::PlanRun;
use crate::reply::Declined;
use crate::trial::Trial;
use crate::votes::Votes;
use crate::{Announcement, Event, EventOutcome, Now, Phase, Reply};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use violetseam_plan::{Micros, Plan};

/// After this much time without a recorded event, a tick is due and is recorded even if it changes nothing
/// else. The elapsed times become durable with it, so that a restart loses little of them.
pub(crate) const MAX_TICK_SPAN: Micros = 5_000_000;

/// The state of the release: the newest build, its plan, the votes in force and the builds in each place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The build that runs in all places, or that did before the newest build.
    #[serde(rename = "earlier")]
    previous_build: u16,
    /// What proxies are told about the newest build.
    #[serde(rename = "news")]
    announcement: Announcement,
    /// The trial of the newest build, from its first wave on; kept after its release or rollback.
    trial: Option<Trial>,
    /// A submitted plan whose first wave has not begun.
    #[serde(rename = "next")]
    pending: Option<PlanRun>,
    votes: Votes,
    places: Places,
    /// Builds that were rolled back. A plan for the same build number is rejected.
    #[serde(rename = "called_back")]
    rolled_back: BTreeSet<u16>,
    /// The time of the last event.
    #[serde(rename = "last")]
    last_event: Option<Now>,
    /// The time of the last recorded event. Only events that changed the state are recorded.
    #[serde(rename = "kept_at")]
    last_recorded: Option<Now>,
    /// The elapsed time that was counted since the last recorded event.
    #[serde(rename = "unkept")]
    unrecorded_span: Micros,
}

impl Release {
    /// Creates the state of a fleet whose places all run the same build.
    pub fn new(build: u16) -> Self {
        Release {
            previous_build: build,
            announcement: Announcement { build, stage: 0, phase: Phase::Released, cap: 1.0 },
            trial: None,
            pending: None,
            votes: Votes::default(),
            places: Places::default(),
            rolled_back: BTreeSet::new(),
            last_event: None,
            last_recorded: None,
            unrecorded_span: 0,
        }
    }

    /// Returns what the controller announces to proxies.
    pub fn announcement(&self) -> Announcement {
        self.announcement
    }

    /// Returns the plan of the build on trial. Without one, it returns the plan that waits for its first
    /// wave, else that of the last trial.
    pub fn plan(&self) -> Option<&Plan> {
        let newest = self.trial.as_ref().map(|trial| &trial.run.plan);
        let pending = self.pending.as_ref().map(|run| &run.plan);
        if self.announcement.phase == Phase::Trial { newest } else { pending.or(newest) }
    }

    /// Returns the number of votes in force.
    pub fn votes(&self) -> usize {
        self.votes.len()
    }

    /// Returns the builds that are present in a place by the platform's reports, as pairs of place and build.
    pub fn reported_builds(&self) -> Vec<(u32, u16)> {
        self.places.reported_builds()
    }

    /// Returns whether the newest build is released or rolled back and no plan waits.
    pub fn is_settled(&self) -> bool {
        let is_over = matches!(self.announcement.phase, Phase::Released | Phase::Withdrawn);
        is_over && self.pending.is_none()
    }

    /// Returns the builds that each place should run, as pairs of place and build. The set is empty before
    /// the first trial, because only a plan states how many places there are.
    pub fn desired_builds(&self) -> BTreeSet<(u32, u16)> {
        let Some(trial) = &self.trial else { return BTreeSet::new() };
        let fleet = &trial.run.plan.fleet;
        let previous = self.previous_build;
        let newest = self.announcement.build;
        match self.announcement.phase {
            Phase::Trial => {
                let chosen = &trial.current_wave().places;
                self.places.desired_for_rollout(fleet.places, chosen, previous, newest, fleet.beside)
            }
            Phase::Released => {
                let all_places = (0..fleet.places).collect();
                self.places.desired_for_rollout(fleet.places, &all_places, previous, newest, false)
            }
            Phase::RollingBack | Phase::Withdrawn => {
                self.places.desired_for_rollback(fleet.places, newest, previous)
            }
        }
    }

    /// Returns the time from the last event until a tick may cause a decision; `None` if nothing waits for
    /// time to pass.
    pub fn next_due(&self) -> Option<Micros> {
        let last_event = self.last_event?;
        let mut spans = Vec::new();
        if let Some(pending) = &self.pending {
            spans.extend(pending.due_spans(last_event, 0));
        }
        if let Some(trial) = &self.trial {
            spans.extend(self.votes.next_expiry());
            match self.announcement.phase {
                Phase::Trial => spans.extend(trial.due_spans(last_event)),
                Phase::RollingBack => {
                    spans.push(trial.run.plan.fleet.launch.saturating_sub(trial.wave_elapsed));
                }
                Phase::Released | Phase::Withdrawn => {}
            }
        }
        if spans.is_empty() {
            return None;
        }
        spans.push(MAX_TICK_SPAN.saturating_sub(self.unrecorded_span));
        // A limit that has passed and caused no decision waits for something else. It is checked again at
        // each tick.
        spans.into_iter().filter(|span| *span > 0).min()
    }

    /// Applies an event, and then decides on the transitions that follow from it.
    pub fn on_event(&mut self, now: Now, event: &Event) -> EventOutcome {
        let time_changed = match event {
            Event::Started => self.restart(now),
            _ => self.advance(now),
        };
        let result = self.apply(event);
        let event_changed = matches!(result, Ok(true));
        let reply = match result {
            Ok(_) => Reply::Accepted,
            Err(declined) => declined.into(),
        };
        // Waves begin only on a tick or a start. All events of a batch are thus applied before a wave begins:
        // votes for a rollback prevail over votes for promotion that arrived with them.
        let may_progress = matches!(event, Event::Tick | Event::Started);
        let has_transitioned = self.decide(now, may_progress);
        let is_recorded =
            time_changed || event_changed || has_transitioned || self.unrecorded_span >= MAX_TICK_SPAN;
        if is_recorded {
            self.unrecorded_span = 0;
            self.last_recorded = Some(now);
            if let Some(trial) = &mut self.trial {
                trial.soaked_unrecorded = 0;
            }
        }
        EventOutcome { reply, changed: is_recorded }
    }

    /// Applies the event itself, without the transitions that follow from it. Returns whether it changed
    /// anything.
    fn apply(&mut self, event: &Event) -> Result<bool, Declined> {
        match event {
            Event::Started => Ok(true),
            Event::Tick => Ok(false),
            Event::Offer(plan) => self.offer(plan),
            Event::Vote(vote) => self.vote(vote),
            Event::Sign { who, wave } => self.approve(who, wave),
            Event::Unsign { who, wave } => self.revoke_approval(who, wave),
            Event::Order { who, order } => self.order(who, *order),
            Event::Place { place, build, state } => self.report_place(*place, *build, *state),
        }
    }
}
