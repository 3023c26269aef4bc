//! HTTP/1.1 framing (RFC 9112) without I/O, for both sides of a proxy: input bytes are turned into events.
//!
//! [`server::ServerConnection`] parses requests and writes responses. [`client::ClientConnection`] parses the
//! responses to requests that [`client::write_request_head`] writes. Neither uses a socket or a clock. The
//! events do not depend on how the input is divided into reads.
//!
//! The crate `httparse` parses the heads. It accepts messages that a proxy must not accept, such as those
//! with bare line feeds or with two framings at once. They are rejected here: if two parties disagree about
//! where a message ends, an attacker can smuggle requests.

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
