//! Simulated services and clients on loopback sockets.
//!
//! [`site`] runs the servers, the discovery service, the release service and the network between the proxies
//! on one event loop. [`clients`] runs all clients on another event loop. The caller runs each of the two on
//! its own thread, and each returns a report of what it observed.

mod address_plan;
pub mod clients;
mod error;
mod headers;
pub mod site;

pub use address_plan::AddressPlan;
pub use error::NetworkError;
