//! The release controller's decisions, without I/O: events in, a reply and the changed state out.
//!
//! [`Release`] is told what happened ([`Event`]) and when ([`Now`]), and decides which stage the newest build is
//! in, under which cap, and which places run which build. Same events, same decisions: no clock, no draws, no
//! unordered iteration, no panics. Who drives it keeps every event that changed something durably **before**
//! acting on what it decided ([`Release::news`], [`Release::wanted`], the reply); a fresh one that is told the
//! same events stands where it stood.
//!
//! - `machine.rs`: events, and when a wave moves on, holds or goes back
//! - `votes.rs`: votes that stand, and the allowance of votes a second
//! - `places.rs`: which builds each place runs, and what it is to run
//!
//! Two clocks: `wall` says what the windows say, `steady` measures spans. A wall clock that jumps moves no
//! soak, no limit and no vote's end.

mod machine;
mod places;
mod votes;

pub use machine::Release;
pub use places::PlaceState;
pub use votes::Allowance;

use serde::{Deserialize, Serialize};
use violetseam_plan::{Micros, Plan};

/// The moment of an event, microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Now {
    /// Since 1970 UTC, as the controller's clock has it.
    pub wall: Micros,
    /// Of a clock that never jumps; its zero is anywhere and changes with each start.
    pub steady: Micros,
}

/// What a proxy votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Move on.
    On,
    /// Stop the clock.
    Hold,
    /// Send back.
    Back,
    /// No vote.
    Withdraw,
}

/// A proxy's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The proxy's number.
    pub proxy: u32,
    /// The build.
    pub build: u16,
    /// The stage that it means.
    pub stage: u8,
    /// What it votes.
    pub verdict: Verdict,
}

/// What a person orders beside the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Stand still, at most for so long.
    Hold(Micros),
    /// Go on.
    Resume,
    /// Send the build back.
    Back,
    /// Skip what is left of the soak.
    Skip,
}

/// Something that happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A controller begins with what was durable: its steady clock is another one.
    Started,
    /// Time passed.
    Tick,
    /// A build is offered.
    Offer(Box<Plan>),
    /// A proxy votes.
    Vote(Vote),
    /// Somebody approves a wave.
    Sign {
        /// Who.
        who: String,
        /// The wave.
        wave: String,
    },
    /// Somebody takes an approval back.
    Unsign {
        /// Who.
        who: String,
        /// The wave.
        wave: String,
    },
    /// Somebody orders something.
    Order {
        /// Who.
        who: String,
        /// What.
        order: Order,
    },
    /// A place tells what it runs.
    Place {
        /// Its number.
        place: u32,
        /// The build.
        build: u16,
        /// How it is.
        state: PlaceState,
    },
}

/// What became of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// It counts.
    Ok,
    /// It is about something that is past, and changes nothing.
    Moot(String),
    /// It is not permitted, or makes no sense, and changes nothing.
    Refused(String),
}

/// Where the newest build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// On trial.
    Trial,
    /// Going back.
    RollingBack,
    /// Released.
    Released,
    /// Gone back.
    Withdrawn,
}

/// What the controller tells proxies.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The newest build.
    pub build: u16,
    /// Its stage, from 0: the wave that it is in.
    pub stage: u8,
    /// Where it stands.
    pub phase: Phase,
    /// The most of the traffic that it may get.
    pub cap: f64,
}
