//! HTTP/1.1 framing without I/O (RFC 9112): bytes in, events out, for both sides of a proxy.
//!
//! [`server::ServerConnection`] parses requests and writes responses, [`client::ClientConnection`] parses
//! responses to requests that [`client::write_request_head`] writes. Neither touches a socket or a clock, and
//! any division of the input into pieces gives the same events.
//!
//! Heads are parsed by `httparse`. What that crate accepts and a proxy must not (bare line feeds, two
//! framings at once) is rejected here, as a disagreement about where a message ends allows request smuggling.

mod body;
pub mod client;
mod error;
mod fields;
mod framing;
mod head;
mod input;
mod scan;
pub mod server;

pub use body::{BodyReader, write_chunk, write_last_chunk};
pub use error::FramingError;
pub use fields::is_hop_by_hop;
pub use framing::Framing;
pub use head::{Limits, RequestHead, ResponseHead};
