//! Canary analysis: the build on trial is compared with the earlier one, and voted on.
//!
//! In the order of a stage's life: ends of attempts are collected and windows closed in `windows.rs`, a closed
//! window is evaluated in `verdict.rs` and its arms compared in `comparison.rs`, votes are cast in `votes.rs`,
//! and counters are exchanged with peers in `gossip.rs`. See `docs/design.md`.

mod comparison;
mod gossip;
mod verdict;
mod votes;
mod windows;

pub(crate) use gossip::GOSSIP_INTERVAL;
pub(crate) use windows::AttemptContext;
