//! The release controller's decisions, as a state machine without I/O.
//!
//! [`Release`] takes events ([`Event`]), each with its time ([`Now`]). It decides which stage the newest
//! build is in, what share of the traffic that build may get, and which builds each place is to run. It is
//! deterministic: it reads no clock, draws no random numbers, iterates over ordered collections only, and
//! does not panic. The caller must make every event that changed the state durable **before** it acts on the
//! outcome ([`Release::announcement`], [`Release::desired_builds`] and the reply). Replaying the recorded
//! events rebuilds the same state.
//!
//! - `event.rs`: events and the time of an event
//! - `reply.rs`: replies, and the reasons for declining an event
//! - `release.rs`: the state machine
//! - `plan_run.rs`: the progress of a submitted plan: approvals, holds, calendar windows and deadlines
//! - `trial.rs`: the trial of a build: its current wave and that wave's soak time
//! - `votes.rs`: the votes in force
//! - `vote_rate.rs`: the rate limit for votes
//! - `places.rs`: the builds that each place reports, and the builds that it should run
//!
//! Every event carries two clocks. The wall clock (`wall`) decides whether a calendar window is open. The
//! monotonic clock (`steady`) measures elapsed time. A jump of the wall clock therefore changes no elapsed
//! time of a wave, a limit or a vote.

mod event;
mod places;
mod plan_run;
mod release;
mod reply;
mod trial;
mod vote_rate;
mod votes;

pub use event::{Event, Now, Order, Verdict, Vote};
pub use places::PlaceState;
pub use release::Release;
pub use reply::{Announcement, EventOutcome, Phase, Reply};
pub use vote_rate::VoteRateLimit;
