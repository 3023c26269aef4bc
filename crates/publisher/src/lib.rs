//! The publisher of incremental configuration distribution as a daemon, and the client that speaks to it.
//!
//! Each module uses only those above it, apart from `client`, which uses `protocol` alone:
//! - `settings`: the address, the state folder, the bounds
//! - `protocol`: paths, requests and responses of the HTTP interface
//! - `store`: the durable configuration and log (`redb`)
//! - `http_messages`: complete requests and responses
//! - `halt`: why nothing is published any more
//! - `service`: what each request does, without connections
//! - `watch`: one endless response to a subscriber: backlog, heartbeats, slow readers
//! - `connection`: one connection
//! - `server`: all connections on the event loop
//! - `serve`: start, signals, end
//! - `client`: one request with a timeout, for the command line
//!
//! Decisions are in `violetseam-distribution`, which does no I/O. A change is durable before a subscriber or
//! the operator who published it hears of it. `docs/distribution.md` has the design.

pub mod client;
mod connection;
mod halt;
mod http_messages;
pub mod protocol;
pub mod serve;
mod server;
mod service;
pub mod settings;
pub mod store;
mod watch;

pub use service::DurabilityError;
