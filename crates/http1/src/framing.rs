//! Determines how a message's body is delimited (RFC 9112, 6) and whether the connection persists (9.3).

use crate::FramingError;
use http::header::{self, HeaderMap, HeaderName};
use http::{StatusCode, Version};

/// The maximum number of digits of a `Content-Length`. Any number with so many digits fits into 64 bits.
const MAX_LENGTH_DIGITS: usize = 18;

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes, which is 0 if there is no body.
    Length(u64),
    /// By the last chunk.
    Chunked,
    /// By the end of the connection. Only responses can be framed so.
    UntilClose,
}

/// Returns the framing of a request's body.
pub(crate) fn request_framing(version: Version, headers: &HeaderMap) -> Result<Framing, FramingError> {
    if is_chunked(version, headers)? {
        return Ok(Framing::Chunked);
    }
    Ok(Framing::Length(content_length(headers)?.unwrap_or(0)))
}

/// Returns the framing of a response's body. Framing errors are reported even if no body follows, because a
/// server that makes them may disagree about where the message ends.
pub(crate) fn response_framing(
    version: Version,
    headers: &HeaderMap,
    has_body: bool,
) -> Result<Framing, FramingError> {
    let is_chunked = is_chunked(version, headers)?;
    let length = content_length(headers)?;
    Ok(match length {
        _ if !has_body => Framing::Length(0),
        _ if is_chunked => Framing::Chunked,
        Some(length) => Framing::Length(length),
        None => Framing::UntilClose,
    })
}

/// Whether a response with this status can have a body. A response to HEAD never has one.
pub(crate) fn has_body(status: StatusCode, is_response_to_head: bool) -> bool {
    let status_has_no_body =
        status.is_informational() || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    !is_response_to_head && !status_has_no_body
}

/// Returns the length that `Content-Length` states, if the field is present. Repeated fields with different
/// lengths, lists and signs are rejected.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, FramingError> {
    let mut stated_length: Option<u64> = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let length = parse_length(value.as_bytes())?;
        if stated_length.is_some_and(|previous| previous != length) {
            return Err(FramingError::ConflictingContentLengths);
        }
        stated_length = Some(length);
    }
    Ok(stated_length)
}

fn parse_length(digits: &[u8]) -> Result<u64, FramingError> {
    let is_number =
        !digits.is_empty() && digits.len() <= MAX_LENGTH_DIGITS && digits.iter().all(u8::is_ascii_digit);
    if !is_number {
        return Err(FramingError::MalformedContentLength);
    }
    Ok(digits.iter().fold(0, |number, digit| number * 10 + u64::from(digit - b'0')))
}

/// Whether the body is chunked. Any other transfer coding is rejected, as the end of such a body cannot be
/// found here.
fn is_chunked(version: Version, headers: &HeaderMap) -> Result<bool, FramingError> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).into_iter();
    let Some(coding) = codings.next() else { return Ok(false) };
    if version == Version::HTTP_10 {
        return Err(FramingError::TransferEncodingInHttp10);
    }
    if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Err(FramingError::UnknownTransferCoding);
    }
    if headers.contains_key(header::CONTENT_LENGTH) {
        return Err(FramingError::ConflictingFramings);
    }
    Ok(true)
}

/// Whether the connection can carry another message after one with these headers.
pub(crate) fn keep_alive(version: Version, headers: &HeaderMap) -> bool {
    let has_close = has_token(headers, header::CONNECTION, "close");
    let has_keep_alive = has_token(headers, header::CONNECTION, "keep-alive");
    !has_close && (version == Version::HTTP_11 || has_keep_alive)
}

/// Whether a field with a list value contains the token, in any of the field's lines.
pub(crate) fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).into_iter().filter_map(|value| value.to_str().ok());
    let mut items = values.flat_map(|value| value.split(','));
    items.any(|item| item.trim().eq_ignore_ascii_case(token))
}
