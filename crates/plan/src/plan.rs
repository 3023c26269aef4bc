//! A release plan: fleet, waves, holds, approvals, operators' powers and calendar.
//!
//! Names of types and fields are part of the stored form and of the text of differences.

use crate::Micros;
use crate::calendar::Calendar;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A plan that passed the checks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// The build that it releases.
    pub build: u16,
    /// The longest the release may take, from its offer on; past it, the build is rolled back.
    pub longest: Micros,
    /// How time without a controller counts.
    pub downtime: Downtime,
    /// The fleet that it is for.
    pub fleet: Fleet,
    /// The waves, in order.
    pub waves: Vec<Wave>,
    /// The waves before which the release waits for somebody.
    pub holds: Vec<Hold>,
    /// The approvals that waves need.
    pub sign_offs: Vec<SignOff>,
    /// What operators may do outside the plan.
    pub overrides: Vec<Override>,
    /// When waves may begin.
    pub calendar: Calendar,
}

/// How time without a controller counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Downtime {
    /// A wave's soak stands still while no controller runs.
    Stops,
    /// It goes on.
    Counts,
}

/// The fleet that a plan is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Proxies that vote, numbered from 0.
    pub proxies: u32,
    /// Places that run a build, numbered from 0.
    pub places: u32,
    /// How long a vote is valid, in microseconds.
    pub vote_ttl: Micros,
    /// Votes a second that are taken from all proxies together.
    pub votes_per_s: f64,
    /// The caps that the proxies' settings permit, by stage.
    pub stage_caps: Vec<f64>,
    /// The share of proxies whose 'back' rolls the build back; under the gate `any`, one is enough.
    pub votes_back: f64,
    /// The earlier build keeps running in a place beside the new one until the release.
    pub beside: bool,
    /// How long a wave waits for its places to run the build; then it goes on with those that do.
    pub launch: Micros,
    /// A wave's soak begins so long after its places run.
    pub settle: Micros,
}

/// What moves a wave on, once it has soaked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Gate {
    /// One 'on'.
    Any,
    /// A share of all proxies.
    Share,
    /// The soak alone, which a share of 'hold' stops.
    Timer,
}

/// What happens to a wave when its window closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnClose {
    /// Its soak stands still until a window opens.
    Hold,
    /// It soaks on, and the last one may release; the next wave waits for a window.
    Finish,
    /// The build is rolled back.
    Back,
}

/// A wave: one stage of the release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Its name.
    pub name: String,
    /// The places that run the new build.
    pub places: BTreeSet<u32>,
    /// The most of the traffic that the new build may get, 0 to 1.
    pub cap: f64,
    /// The least time, from when its places run.
    pub soak: Micros,
    /// What moves it on.
    pub gate: Gate,
    /// The share of proxies whose 'on' moves it on (gate `share`), or whose 'hold' stops it (gate `timer`).
    pub votes: f64,
    /// What happens when the window closes.
    pub on_close: OnClose,
}

/// The release waits before a wave until somebody ends the hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The wave that waits.
    pub before: String,
    /// Who may end the hold.
    pub leave: Vec<String>,
    /// The hold ends by itself after so long.
    pub at_most: Option<Micros>,
}

/// Approvals that a wave needs before it begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignOff {
    /// The wave.
    pub wave: String,
    /// Who may give one.
    pub by: Vec<String>,
    /// How many of them must.
    pub count: usize,
    /// Within this time from the offer; past it, the build is rolled back.
    pub within: Micros,
}

/// What an operator may do outside the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Power {
    /// Hold the release for a while.
    Hold,
    /// End a hold.
    Resume,
    /// Roll the build back.
    Back,
    /// Skip what is left of a soak; never votes, windows or sign-offs.
    Skip,
}

/// Somebody's powers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Override {
    /// Who.
    pub who: String,
    /// What they may do.
    pub may: BTreeSet<Power>,
}

impl Plan {
    /// The votes that a share of all proxies is, at least one.
    pub fn votes_for_share(&self, share: f64) -> usize {
        ((share * f64::from(self.fleet.proxies)).ceil() as usize).max(1)
    }

    /// The 'on' votes that a wave needs, or under a timer the 'hold' votes that stop it.
    pub fn deciding_votes(&self, wave: &Wave) -> usize {
        if wave.gate == Gate::Any { 1 } else { self.votes_for_share(wave.votes) }
    }

    /// The 'back' votes that roll the build back in a wave.
    pub fn votes_to_roll_back(&self, wave: &Wave) -> usize {
        if wave.gate == Gate::Any { 1 } else { self.votes_for_share(self.fleet.votes_back) }
    }

    /// Whether the plan gives somebody a power.
    pub fn permits(&self, who: &str, power: Power) -> bool {
        self.overrides.iter().any(|given| given.who == who && given.may.contains(&power))
    }
}
