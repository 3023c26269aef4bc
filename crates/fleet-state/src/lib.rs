//! State that the proxies of one fleet share, without I/O and without a clock of its own: the caller passes the time in,
//! messages go in and out as plain values, and a message may be lost, late, repeated or out of order.
//!
//! - [`quota_leases`]: one fleet-wide rate limit, divided into quotas that members lend each other by leases
//! - [`fleet_quotas`]: all rate limits of one member, by request class, and the messages that they exchange
//! - [`lease_messages`]: those messages as bytes
//! - [`outlier_gossip`]: gossip about failing servers, and which servers are ejected because of it
//!
//! Both protocols fail safe: a member that receives nothing falls back to its guaranteed quota and to its own
//! observations. Shared state may only restrict what a member would do alone, never permit more. `docs/shared.md`
//! describes the design and the alternatives.

mod demand;
pub mod fleet_quotas;
pub mod lease_messages;
pub mod outlier_gossip;
pub mod quota_leases;
mod token_bucket;
mod types;

pub use types::{Micros, OutgoingMessage, Rate};
