//! The publisher of incremental configuration distribution as a daemon, and the client that speaks to it.
//!
//! - `settings.rs`: where it listens, what it keeps, and the bounds of everything that comes from outside
//! - `protocol.rs`: paths, requests and answers of its HTTP interface
//! - `store.rs`: the durable configuration and log (`redb`)
//! - `serve.rs`: the loop: start, signals, timers
//! - `connections.rs`: accepting, reading, writing and closing connections
//! - `requests.rs`: what each request does
//! - `watches.rs`: endless answers to subscribers: backlog, heartbeats, slow readers
//! - `client.rs`: one request with a time-out, for the command line
//!
//! Decisions are in `violetseam-distribution`, which does no I/O. A change is durable before a subscriber or
//! the operator who published it hears of it. `docs/distribution.md` has the design.

pub mod client;
mod connections;
pub mod protocol;
mod requests;
pub mod serve;
pub mod settings;
pub mod store;
mod watches;
