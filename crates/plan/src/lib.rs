//! Release plans as data: waves, windows, freezes, holds, sign-offs and who may override, read from a reviewable
//! script and checked for contradictions before anything runs.
//!
//! - `document.rs`: the sections as a script writes them
//! - `calendar.rs`: when the windows are open, by time zone, over changes of the clocks
//! - `check.rs`: everything that can be proved wrong about a plan, each with its line
//! - `diff.rs`: what differs between two plans
//!
//! Nothing here has a clock or does I/O beyond reading the script. Moments are microseconds since 1970 UTC,
//! spans are microseconds. `docs/plans.md` is the reference.

mod calendar;
mod check;
mod diff;
mod document;

pub use calendar::{Calendar, Freeze, Window, moment_of};
pub use diff::diff;
pub use document::{read_file, read_text};
pub use violetseam_starlark_config::ScriptError;

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Microseconds: of a span, or since 1970 UTC.
pub type Micros = u64;

/// A plan that passed the checks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// The build that it brings.
    pub build: u16,
    /// The longest the release may take, from its offer on; past it, the build goes back.
    pub longest: Micros,
    /// What a span without a controller counts as.
    pub downtime: Downtime,
    /// The fleet that it is for.
    pub fleet: Fleet,
    /// In order.
    pub waves: Vec<Wave>,
    /// Before which waves the release stands still.
    pub holds: Vec<Hold>,
    /// Whose approval which waves need.
    pub sign_offs: Vec<SignOff>,
    /// Who may do what beside the plan.
    pub overrides: Vec<Override>,
    /// When waves may begin.
    pub calendar: Calendar,
}

/// What a span without a controller counts as.
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
    /// How long a vote stands.
    pub vote_ttl: Micros,
    /// Votes a second that are taken from all proxies together.
    pub votes_per_s: f64,
    /// The caps that the proxies' settings permit, by stage.
    pub stage_caps: Vec<f64>,
    /// The share of proxies whose 'back' sends a build back; under the gate `any`, one is enough.
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
    /// The build goes back.
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

/// The release stands still before a wave until somebody lets it go on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The wave that waits.
    pub before: String,
    /// Who may let it go on.
    pub leave: Vec<String>,
    /// It goes on by itself after so long.
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
    /// Within this span from the offer; past it, the build goes back.
    pub within: Micros,
}

/// What somebody may do beside the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Power {
    /// Stop the release for a while.
    Hold,
    /// Let it go on.
    Resume,
    /// Send the build back.
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
    pub fn votes(&self, share: f64) -> usize {
        ((share * f64::from(self.fleet.proxies)).ceil() as usize).max(1)
    }

    /// The 'on' votes that a wave needs, or the 'hold' votes that stop it under a timer.
    pub fn votes_of(&self, wave: &Wave) -> usize {
        if wave.gate == Gate::Any { 1 } else { self.votes(wave.votes) }
    }

    /// The 'back' votes that send the build back in a wave.
    pub fn votes_back(&self, wave: &Wave) -> usize {
        if wave.gate == Gate::Any { 1 } else { self.votes(self.fleet.votes_back) }
    }

    /// Whether somebody has a power.
    pub fn may(&self, who: &str, power: Power) -> bool {
        self.overrides.iter().any(|o| o.who == who && o.may.contains(&power))
    }
}
