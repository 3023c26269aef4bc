//! The daemon that publishes incremental configuration updates, and its client.
//!
//! Each module uses only modules above it in this list; `client` uses only `protocol`:
//! - `settings`: the address, the state folder and the limits
//! - `protocol`: paths, requests and responses of the HTTP interface
//! - `store`: the durable configuration and the log of deltas, in a `redb` file
//! - `http_messages`: complete requests and responses
//! - `halt`: the reasons for which a publisher stops publishing
//! - `service`: what each request does to the publisher and its store; it does not handle connections
//! - `watch`: the endless response to one subscriber, with its backlog, its heartbeats and the check for slow
//!   readers
//! - `connection`: one client connection
//! - `server`: all connections on the event loop
//! - `serve`: the start and the end of the daemon, and its signals
//! - `client`: sends one request with a timeout, for the command line
//!
//! All decisions are made in `violetseam-distribution`, which does no I/O. A change is made durable before it
//! is sent to any subscriber and before the operator gets the response. `docs/distribution.md` has the
//! design.

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
