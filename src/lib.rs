//! Violetseam: a request router and release judge for one load balancer.
//!
//! The library knows no wire, clock or I/O. [`balance::Balancer`] is a deterministic state machine:
//! it is told what happened ([`interface::Event`]) and writes down what to do ([`interface::Action`]).

pub mod balance;
pub mod evidence;
pub mod interface;
mod judging;
pub mod permission;
pub mod state;
pub mod stats;
