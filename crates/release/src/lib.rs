//! The release controller's decisions, without I/O: events in, a reply and the changed state out.
//!
//! [`Release`] is given what happened ([`Event`]) and when ([`Now`]), and decides which stage the newest build is
//! in, under which cap, and which places run which build. It is deterministic: no clock, no random draws, no
//! unordered iteration, no panics. Its caller makes every event that changed something durable **before** acting
//! on the outcome ([`Release::announcement`], [`Release::desired_builds`], the reply); replaying the same events gives the same
//! state.
//!
//! - `event.rs`: events and their times
//! - `reply.rs`: replies, and why an event is declined
//! - `release.rs`: the state machine
//! - `plan_run.rs`: a plan since its offer: approvals, holds, windows, deadlines
//! - `trial.rs`: a build that runs in places: its wave and its soak
//! - `votes.rs`: votes in force
//! - `vote_rate.rs`: the rate limit of votes
//! - `places.rs`: which builds each place runs, and which it is to run
//!
//! Two clocks: `wall` decides what the windows say, `steady` measures spans. A wall clock that jumps affects no
//! soak, no limit and no vote's lifetime.

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
