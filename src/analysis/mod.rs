//! Canary analysis: compares the build on trial with the earlier one, and votes on it.
//!
//! The modules in the order of a stage: `windows.rs` collects the ends of attempts and closes windows,
//! `verdict.rs` evaluates a window, `comparison.rs` compares its arms, `votes.rs` casts votes, and
//! `gossip.rs` exchanges counters with peers. See `docs/design.md`.

mod comparison;
mod gossip;
mod verdict;
mod votes;
mod windows;

pub(crate) use gossip::GOSSIP_INTERVAL;
pub(crate) use windows::{AttemptContext, UNHINTED_WORK};
