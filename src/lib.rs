//! Violetseam: request routing and canary analysis for one load balancer.
//!
//! The library has no network protocol, clock or I/O. [`balancer::Balancer`] is a deterministic state
//! machine: it is given events ([`interface::Event`]) and returns the actions to take
//! ([`interface::Action`]).
//!
//! Dependencies point in one direction: the decisions (`event_loop`, `admission`, `routing`, `analysis`, ...)
//! use the balancer's `state`, which in turn uses `evidence`, `statistics` and the plain types of
//! `interface`.

mod admission;
mod analysis;
mod attempts;
pub mod balancer;
mod completion;
mod endpoints;
mod event_loop;
pub mod evidence;
mod exposure;
pub mod interface;
pub mod lease;
mod margins;
mod outcomes;
mod release;
pub mod release_order;
mod retry;
mod routing;
mod slow_start;
pub mod state;
pub mod statistics;
mod time;
