//! A release plan: its fleet, waves, holds, approvals, operator permissions and calendar.
//!
//! The names of types and fields are part of the format of stored plans and of the text that
//! [`diff`](crate::diff()) prints.

use crate::Micros;
use crate::calendar::Calendar;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The plan of one release. [`read_file`](crate::read_file) and [`read_text`](crate::read_text) only return
/// plans that have passed validation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Name of the plan.
    pub name: String,
    /// Number of the build that the plan releases.
    pub build: u16,
    /// Maximum duration of the release, from its offer on. A build that is not released by then is rolled
    /// back.
    pub longest: Micros,
    /// Whether time without a running controller counts towards soaks.
    pub downtime: Downtime,
    /// The fleet that the plan is made for.
    pub fleet: Fleet,
    /// The waves, in order.
    pub waves: Vec<Wave>,
    /// The holds: points before a wave at which the release waits for an operator.
    pub holds: Vec<Hold>,
    /// The approvals that waves need before they begin.
    pub sign_offs: Vec<SignOff>,
    /// The permissions of operators to intervene in the release.
    pub overrides: Vec<Override>,
    /// The times at which waves may begin.
    pub calendar: Calendar,
}

/// Whether time without a running controller counts towards soaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Downtime {
    /// The soak of a wave is suspended while no controller runs.
    Stops,
    /// The soak of a wave continues while no controller runs.
    Counts,
}

/// The fleet that a plan is made for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Number of proxies that vote. They are numbered from 0.
    pub proxies: u32,
    /// Number of places that run a build. They are numbered from 0.
    pub places: u32,
    /// How long a vote is valid, in microseconds.
    pub vote_ttl: Micros,
    /// Votes per second that the controller accepts from all proxies together.
    pub votes_per_s: f64,
    /// Maximum cap of each stage that the proxies' settings permit.
    pub stage_caps: Vec<f64>,
    /// Share of the proxies that must vote 'back' to roll the build back. In a wave with the gate `any`, a
    /// single vote is enough.
    pub votes_back: f64,
    /// Whether a place keeps running the earlier build beside the new one until the new one is released.
    pub beside: bool,
    /// How long a wave waits for all its places to run the build. After that, it continues with the places
    /// that do.
    pub launch: Micros,
    /// Delay between the moment when a wave's places run the build and the start of its soak.
    pub settle: Micros,
}

/// The condition that ends a wave after its soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Gate {
    /// A single 'on' vote.
    Any,
    /// 'On' votes of a share of all proxies.
    Share,
    /// The end of the soak alone, unless a share of all proxies votes 'hold'.
    Timer,
}

/// The effect of a closing window on the wave in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OnClose {
    /// The soak of the wave is suspended until a window opens.
    Hold,
    /// The wave continues to soak, and the build may be released after the last wave. The next wave waits for
    /// a window.
    Finish,
    /// The build is rolled back.
    Back,
}

/// A wave: one stage of the release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Wave {
    /// Name of the wave.
    pub name: String,
    /// The places that run the new build.
    pub places: BTreeSet<u32>,
    /// Maximum share of the traffic, 0 to 1, that the new build may receive.
    pub cap: f64,
    /// Minimum time that the build runs in the wave's places before the wave can end.
    pub soak: Micros,
    /// The condition that ends the wave after its soak.
    pub gate: Gate,
    /// Share of the proxies whose 'on' votes end the wave (gate `share`), or whose 'hold' votes keep it from
    /// ending (gate `timer`).
    pub votes: f64,
    /// The effect of a closing window on the wave.
    pub on_close: OnClose,
}

/// A point before a wave at which the release waits until an operator ends the hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Name of the wave that waits.
    pub before: String,
    /// Names of the operators who may end the hold.
    pub leave: Vec<String>,
    /// Time after which the hold ends without an operator, if any.
    pub at_most: Option<Micros>,
}

/// Approvals that a wave needs before it begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignOff {
    /// Name of the wave that needs the approvals.
    pub wave: String,
    /// Names of the operators who may approve.
    pub by: Vec<String>,
    /// Number of approvals that the wave needs.
    pub count: usize,
    /// Time from the offer of the release within which the approvals must arrive. Without them, the build is
    /// rolled back.
    pub within: Micros,
}

/// A permission of an operator to intervene in a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Power {
    /// Hold the release for a limited time.
    Hold,
    /// End a hold.
    Resume,
    /// Roll the build back.
    Back,
    /// Skip the rest of a soak. Votes, windows and sign-offs cannot be skipped.
    Skip,
}

/// The permissions of one operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Override {
    /// Name of the operator.
    pub who: String,
    /// The permissions.
    pub may: BTreeSet<Power>,
}

impl Plan {
    /// Returns the number of votes that corresponds to a share of all proxies, rounded up and at least 1.
    pub fn votes_for_share(&self, share: f64) -> usize {
        ((share * f64::from(self.fleet.proxies)).ceil() as usize).max(1)
    }

    /// Returns the number of 'on' votes that end a wave, or with the gate `timer` the number of 'hold' votes
    /// that keep it from ending.
    pub fn deciding_votes(&self, wave: &Wave) -> usize {
        if wave.gate == Gate::Any { 1 } else { self.votes_for_share(wave.votes) }
    }

    /// Returns the number of 'back' votes that roll the build back during a wave.
    pub fn votes_to_roll_back(&self, wave: &Wave) -> usize {
        if wave.gate == Gate::Any { 1 } else { self.votes_for_share(self.fleet.votes_back) }
    }

    /// Returns whether the plan gives an operator this permission.
    pub fn permits(&self, who: &str, power: Power) -> bool {
        self.overrides.iter().any(|given| given.who == who && given.may.contains(&power))
    }
}
