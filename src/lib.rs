//! Violetseam: a request router and canary analysis for one load balancer.
//!
//! The library knows no wire, clock or I/O. [`balancer::Balancer`] is a deterministic state machine: it is fed
//! with events ([`interface::Event`]) and writes down what to do ([`interface::Action`]).
//!
//! Dependencies point one way: decisions (`event_loop`, `admission`, `routing`, `analysis`, ...) use the
//! balancer's `state`, and that uses `evidence`, `statistics` and the plain types of `interface`.

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
mod retry;
mod routing;
mod slow_start;
pub mod state;
pub mod statistics;
mod time;
