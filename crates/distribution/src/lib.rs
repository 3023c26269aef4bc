//! Incremental distribution of configuration (routes and tenants) as versioned resources.
//!
//! A [`publisher::Publisher`] assigns a version number to each set of changes and keeps the newest deltas in
//! a bounded log, next to the current configuration and its digest. It responds to a subscription with the
//! deltas after the version that the subscriber has, or with a snapshot. A [`subscriber::Subscriber`] keeps
//! the last configuration that passed all checks. It applies a delta completely or not at all, acknowledges
//! or rejects it, and requests a snapshot when deltas no longer lead to the newest version.
//! [`admission::Admission`] spreads the sending of snapshots over time.
//!
//! This crate does no I/O and reads no clock: the caller passes the current time as [`Micros`]. The design is
//! described in `docs/distribution.md`.

pub mod admission;
pub mod backoff;
pub mod configuration;
pub mod digest;
pub mod message;
pub mod publisher;
pub mod report;
pub mod resource;
pub mod subscriber;
pub mod subscription;
pub mod version;

mod log;
mod rejected;
mod snapshot;
mod snapshot_assembly;
mod subscriber_table;

pub use configuration::{ApplyError, Configuration};
pub use digest::Digest;
pub use message::{Change, Delta, Line, Message, ParseError, SnapshotPart};
pub use report::Report;
pub use resource::{Resource, ResourceKey, Route, RouteKey, RouteValue, Tenant, TenantValue};
pub use subscription::Subscribe;
pub use version::{Term, Version};

/// A point in time or a duration, in microseconds. The caller chooses the origin of its clock.
pub type Micros = u64;
