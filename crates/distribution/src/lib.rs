//! Incremental distribution of configuration: routes and tenants as versioned resources.
//!
//! A [`publisher::Publisher`] numbers changes, keeps a bounded log of them over a configuration with a
//! digest, and responds to subscriptions with the deltas since a known version or with a snapshot. A
//! [`subscriber::Subscriber`] keeps the last good configuration, applies a delta whole or not at all,
//! acknowledges or rejects it, and asks for a snapshot when deltas no longer lead to the newest version.
//! [`admission::Admission`] spreads snapshots over time. Nothing here does I/O or reads a clock: time comes
//! in as [`Micros`]. `docs/distribution.md` is the design note.

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

/// A point in time or a span, in microseconds; the origin is the caller's.
pub type Micros = u64;
