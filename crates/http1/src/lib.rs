//! HTTP/1.1 framing without I/O (RFC 9112): bytes in, events out, for both sides of a proxy.
//!
//! [`server::ServerConn`] reads requests and writes answers, [`client::ClientConn`] writes requests and
//! reads answers. Neither touches a socket or a clock, and any cut of the input gives the same events.
//! Heads are parsed by `httparse`; what that crate lets pass and a proxy must not (bare line feeds, two
//! framings at once) is refused here, since a disagreement about where a message ends is how requests
//! are smuggled past a proxy.

pub mod body;
pub mod client;
pub mod head;
pub mod server;

pub use body::{BodyReader, Framing, write_chunk, write_last_chunk};
pub use head::{Fault, Limits, RequestHead, ResponseHead, Scan, is_hop_by_hop, scan_head};
