//! The state machine of a release.
//!
//! - `time.rs`: time that passes between events and over restarts
//! - `operators.rs`: offers, approvals and orders
//! - `reports.rs`: votes of proxies and reports of places
//! - `progress.rs`: when a wave moves on, and when a build is rolled back
//! - `status.rs`: a description for people

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

/// Time passes in steps of at most this, so that what was counted is durable and a restart loses little.
pub(crate) const MAX_TICK_SPAN: Micros = 5_000_000;

/// The controller's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Release {
    /// The build that runs everywhere, or did before the newest.
    #[serde(rename = "earlier")]
    previous_build: u16,
    #[serde(rename = "news")]
    announcement: Announcement,
    /// The newest build's plan, from its first wave on.
    trial: Option<Trial>,
    /// Offered, and its first wave has not begun.
    #[serde(rename = "next")]
    pending: Option<PlanRun>,
    votes: Votes,
    places: Places,
    /// Builds that must not come again under their numbers.
    #[serde(rename = "called_back")]
    rolled_back: BTreeSet<u16>,
    #[serde(rename = "last")]
    last_event: Option<Now>,
    /// The last event that changed something, and so was recorded.
    #[serde(rename = "kept_at")]
    last_recorded: Option<Now>,
    /// Spans counted since then.
    #[serde(rename = "unkept")]
    unrecorded_span: Micros,
}

impl Release {
    /// A fleet whose places all run one build.
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

    /// What is announced to proxies.
    pub fn announcement(&self) -> Announcement {
        self.announcement
    }

    /// The plan under way, or the one that waits, or the last one.
    pub fn plan(&self) -> Option<&Plan> {
        let newest = self.trial.as_ref().map(|trial| &trial.run.plan);
        let pending = self.pending.as_ref().map(|run| &run.plan);
        if self.announcement.phase == Phase::Trial { newest } else { pending.or(newest) }
    }

    /// How many votes are in force.
    pub fn votes(&self) -> usize {
        self.votes.len()
    }

    /// Builds that places have reported and that are not gone, as pairs of place and build.
    pub fn known_places(&self) -> Vec<(u32, u16)> {
        self.places.known()
    }

    /// Whether nothing is left to wait for.
    pub fn is_settled(&self) -> bool {
        let is_over = matches!(self.announcement.phase, Phase::Released | Phase::Withdrawn);
        is_over && self.pending.is_none()
    }

    /// Which build each place is to run, as pairs of place and build; none before a plan has named the places.
    pub fn desired_builds(&self) -> BTreeSet<(u32, u16)> {
        let Some(trial) = &self.trial else { return BTreeSet::new() };
        let fleet = &trial.run.plan.fleet;
        let previous = self.previous_build;
        let newest = self.announcement.build;
        match self.announcement.phase {
            Phase::Trial => {
                let chosen = &trial.current_wave().places;
                self.places.roll_out(fleet.places, chosen, previous, newest, fleet.beside)
            }
            Phase::Released => {
                let everywhere = (0..fleet.places).collect();
                self.places.roll_out(fleet.places, &everywhere, previous, newest, false)
            }
            Phase::RollingBack | Phase::Withdrawn => self.places.roll_back(fleet.places, newest, previous),
        }
    }

    /// How long until time alone may decide something, from the last event on.
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
        // What is due already did not decide anything by itself: it is checked again with the next tick.
        spans.into_iter().filter(|span| *span > 0).min()
    }

    /// Takes an event.
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
        // A build progresses with time alone: everything that arrives together is taken in before it does.
        let may_progress = matches!(event, Event::Tick | Event::Started);
        let progressed = self.decide(now, may_progress);
        let is_recorded =
            time_changed || event_changed || progressed || self.unrecorded_span >= MAX_TICK_SPAN;
        if is_recorded {
            self.unrecorded_span = 0;
            self.last_recorded = Some(now);
            if let Some(trial) = &mut self.trial {
                trial.soaked_unrecorded = 0;
            }
        }
        EventOutcome { reply, changed: is_recorded }
    }

    /// Applies what an event says by itself; whether it changed anything.
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
