//! State that the proxies of one fleet share. The proxies are the members of the fleet. This crate does no
//! I/O and has no clock: the caller passes the current time to each function, and sends and receives the
//! messages. A message may be lost, late, repeated or out of order.
//!
//! - [`quota_leases`]: one fleet-wide rate limit, divided into quotas that members lend each other by leases
//! - [`fleet_quotas`]: all rate limits of one member by request class, and the messages between members
//! - [`lease_messages`]: the encoding of these messages
//! - [`outlier_gossip`]: gossip about failing servers, and the ejection of servers because of it
//!
//! Both protocols fail safe: a member that receives no messages falls back to its guaranteed quota and to its
//! own observations. Shared state may only restrict what a member would do alone. It never permits more.
//! `docs/shared.md` describes the design and the alternatives.

mod demand;
pub mod fleet_quotas;
pub mod lease_messages;
pub mod outlier_gossip;
pub mod quota_leases;
mod token_bucket;
mod types;

pub use types::{Micros, OutgoingMessage, Rate};
