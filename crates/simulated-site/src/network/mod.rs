//! Simulated services and clients on loopback sockets.
//!
//! [`site`] runs servers, discovery, the release service and the network between proxies on one event loop,
//! [`clients`] runs all clients on another. Each runs on a thread of its own and returns what it observed.

mod address_plan;
pub mod clients;
mod error;
mod headers;
pub mod site;

pub use address_plan::AddressPlan;
pub use error::NetworkError;
