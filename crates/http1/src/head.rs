//! Parses the heads of messages, more strictly than `httparse` does.

use crate::FramingError;
use crate::framing::{Framing, has_body, keep_alive, request_framing, response_framing};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode, Version};

/// The maximum number of fields in a head, even if [`Limits::max_fields`] is larger.
const MAX_PARSED_FIELDS: usize = 128;

/// Limits on what a peer can make this side buffer.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum length of a head in bytes, including its request line or status line.
    pub max_head_bytes: usize,
    /// The maximum number of fields in a head.
    pub max_fields: usize,
    /// The maximum length of a request's body in bytes. A longer one is answered with status 413.
    pub max_body_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_head_bytes: 16 * 1024, max_fields: 100, max_body_bytes: 8 * 1024 * 1024 }
    }
}

/// A request's head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The target as the client sent it; if it was an absolute URI, its path and query.
    pub target: String,
    /// The version, HTTP/1.0 or HTTP/1.1.
    pub version: Version,
    /// All header fields.
    pub headers: HeaderMap,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// A response's head.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The version, HTTP/1.0 or HTTP/1.1.
    pub version: Version,
    /// All header fields.
    pub headers: HeaderMap,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection can carry another request.
    pub keep_alive: bool,
}

/// Parses a complete request head, whose end [`crate::scan::scan_head`] has found.
///
/// # Errors
/// [`FramingError`] if the head does not parse, or is ambiguous about the body's length.
pub(crate) fn parse_request(head: &[u8], limits: &Limits) -> Result<RequestHead, FramingError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_PARSED_FIELDS];
    let max_fields = limits.max_fields.min(MAX_PARSED_FIELDS);
    let mut parsed = httparse::Request::new(&mut fields[..max_fields]);
    check_head_end(parsed.parse(head), head)?;
    let method = parse_method(parsed.method.unwrap_or(""))?;
    let target = origin_form(parsed.path.unwrap_or(""), &method)?;
    let version = to_version(parsed.version);
    let headers = to_header_map(parsed.headers)?;
    check_host(version, &headers)?;
    let framing = request_framing(version, &headers)?;
    if matches!(framing, Framing::Length(length) if length > limits.max_body_bytes) {
        return Err(FramingError::BodyTooLarge);
    }
    let expects_continue = expects_continue(version, &headers, framing)?;
    let keep_alive = keep_alive(version, &headers);
    Ok(RequestHead { method, target, version, headers, framing, keep_alive, expects_continue })
}

/// Parses a complete response head. A response to a HEAD request has no body, whatever its head states.
///
/// # Errors
/// [`FramingError`] if the head does not parse, or is ambiguous about the body's length.
pub(crate) fn parse_response(
    head: &[u8],
    limits: &Limits,
    is_response_to_head: bool,
) -> Result<ResponseHead, FramingError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_PARSED_FIELDS];
    let max_fields = limits.max_fields.min(MAX_PARSED_FIELDS);
    let mut parsed = httparse::Response::new(&mut fields[..max_fields]);
    check_head_end(parsed.parse(head), head)?;
    let status = StatusCode::from_u16(parsed.code.unwrap_or(0)).map_err(|_| FramingError::MalformedStatus)?;
    let version = to_version(parsed.version);
    let headers = to_header_map(parsed.headers)?;
    let framing = response_framing(version, &headers, has_body(status, is_response_to_head))?;
    let keep_alive = framing != Framing::UntilClose && keep_alive(version, &headers);
    Ok(ResponseHead { status, version, headers, framing, keep_alive })
}

/// Checks that `httparse` found the end of the head where the scan found it.
fn check_head_end(
    parsed: Result<httparse::Status<usize>, httparse::Error>,
    head: &[u8],
) -> Result<(), FramingError> {
    match parsed? {
        httparse::Status::Complete(length) if length == head.len() => Ok(()),
        _ => Err(FramingError::MalformedHead),
    }
}

fn to_version(minor: Option<u8>) -> Version {
    if minor == Some(0) { Version::HTTP_10 } else { Version::HTTP_11 }
}

fn to_header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, FramingError> {
    let mut map = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| FramingError::MalformedField)?;
        let value = HeaderValue::from_bytes(field.value).map_err(|_| FramingError::MalformedField)?;
        map.append(name, value);
    }
    Ok(map)
}

fn parse_method(name: &str) -> Result<Method, FramingError> {
    let method = Method::from_bytes(name.as_bytes()).map_err(|_| FramingError::MalformedMethod)?;
    if method == Method::CONNECT {
        return Err(FramingError::ConnectNotSupported);
    }
    Ok(method)
}

/// Returns the target in origin form: a target `/path`, or `*` of an OPTIONS request, as it is, and of an
/// absolute URI the path and query.
fn origin_form(target: &str, method: &Method) -> Result<String, FramingError> {
    if target.starts_with('/') || (target == "*" && method == Method::OPTIONS) {
        return Ok(target.to_owned());
    }
    let after_scheme = target.strip_prefix("http://").or_else(|| target.strip_prefix("https://"));
    let after_scheme = after_scheme.ok_or(FramingError::MalformedTarget)?;
    if after_scheme.is_empty() || after_scheme.starts_with(['/', '?', '#']) {
        return Err(FramingError::MalformedTarget);
    }
    match after_scheme.find(['/', '?']) {
        Some(start) if after_scheme.as_bytes()[start] == b'/' => Ok(after_scheme[start..].to_owned()),
        Some(start) => Ok(format!("/{}", &after_scheme[start..])),
        None => Ok("/".to_owned()),
    }
}

/// Checks that a request has exactly one `Host` field. A request of HTTP/1.0 may have none.
fn check_host(version: Version, headers: &HeaderMap) -> Result<(), FramingError> {
    match headers.get_all(header::HOST).into_iter().count() {
        1 => Ok(()),
        0 if version == Version::HTTP_10 => Ok(()),
        _ => Err(FramingError::HostMissingOrRepeated),
    }
}

/// Whether the client waits for `100 Continue`. A client whose request has no body does not wait.
fn expects_continue(version: Version, headers: &HeaderMap, framing: Framing) -> Result<bool, FramingError> {
    let Some(expectation) = headers.get(header::EXPECT) else { return Ok(false) };
    if !expectation.as_bytes().eq_ignore_ascii_case(b"100-continue") {
        return Err(FramingError::UnknownExpectation);
    }
    Ok(version == Version::HTTP_11 && framing != Framing::Length(0))
}
