//! Header fields: which of them are forwarded, and how they are written.

use crate::framing::{Framing, has_token};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// Whether a field applies to a single connection only and must not be forwarded (RFC 9110, 7.6.1). The field
/// `Connection` can name more of them.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    const NAMES: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
    ];
    *name == header::TRANSFER_ENCODING || NAMES.contains(&name.as_str())
}

/// Returns the fields to forward. Leaves out hop-by-hop fields, the fields that frame the body, and those
/// that `Connection` names. The fields in `protected` are forwarded even if `Connection` names them, so that
/// a client cannot strip an idempotency key, for example.
pub(crate) fn end_to_end_fields<'a>(
    headers: &'a HeaderMap,
    protected: &'a [HeaderName],
) -> impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)> {
    let has_connection = headers.contains_key(header::CONNECTION);
    headers.iter().filter(move |(name, _)| {
        let is_framing = **name == header::CONTENT_LENGTH || **name == header::EXPECT;
        let is_named_by_connection = has_connection
            && !protected.contains(name)
            && **name != header::HOST
            && has_token(headers, header::CONNECTION, name.as_str());
        !is_framing && !is_named_by_connection && !is_hop_by_hop(name)
    })
}

/// Appends the line of a field: `name: value` and CR LF.
pub(crate) fn write_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends the field that states a body's framing. A body that ends with the connection has no such field.
pub(crate) fn write_framing(out: &mut Vec<u8>, framing: Framing) {
    match framing {
        Framing::Length(length) => write_field(out, "content-length", length.to_string().as_bytes()),
        Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        Framing::UntilClose => {}
    }
}
