//! Message heads: finding where one ends, parsing it strictly, and what may be forwarded of it.

use crate::body::Framing;
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode, Version};

/// Bounds on what a peer may make this side hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of a head, request or status line included.
    pub head: usize,
    /// Fields of a head.
    pub fields: usize,
    /// Bytes of a body; a longer request body is answered 413.
    pub body: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { head: 16 * 1024, fields: 100, body: 8 * 1024 * 1024 }
    }
}

/// Why a message was refused: the status a server answers with, and a reason for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What a server answers.
    pub status: StatusCode,
    /// What was wrong.
    pub reason: &'static str,
}

impl Fault {
    pub(crate) fn new(status: StatusCode, reason: &'static str) -> Self {
        Fault { status, reason }
    }

    pub(crate) fn bad(reason: &'static str) -> Self {
        Fault::new(StatusCode::BAD_REQUEST, reason)
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.status.as_u16(), self.reason)
    }
}

/// What a look for a head's end found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scan {
    /// The head takes so many bytes, its empty line included.
    Ends(usize),
    /// More input is needed; the next look may start at this offset.
    More(usize),
}

/// Looks for the end of a head from `from` on. Line ends must be CR LF: a bare CR or LF is refused, as two
/// parties that read them differently disagree about where the head ends.
///
/// # Errors
/// [`Fault`] if the head is over its limits or holds a bare CR or LF.
pub fn scan_head(input: &[u8], from: usize, limits: &Limits) -> Result<Scan, Fault> {
    let mut at = from;
    while let Some(step) = memchr::memchr2(b'\r', b'\n', &input[at..]) {
        let i = at + step;
        if i >= limits.head {
            break;
        }
        if input[i] == b'\n' {
            return Err(Fault::bad("bare line feed in a head"));
        }
        match input.get(i + 1) {
            None => return Ok(Scan::More(i)),
            Some(b'\n') => {}
            Some(_) => return Err(Fault::bad("bare carriage return in a head")),
        }
        // An empty line: either the head starts with it (the caller skips those) or the line before ended.
        if i == 0 || (i >= 2 && input[i - 1] == b'\n') {
            return Ok(Scan::Ends(i + 2));
        }
        at = i + 2;
    }
    if input.len() >= limits.head {
        return Err(Fault::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head over the limit"));
    }
    Ok(Scan::More(input.len()))
}

/// A request's head.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The target as the client wrote it, absolute forms reduced to their path.
    pub target: String,
    /// HTTP/1.0 or HTTP/1.1.
    pub version: Version,
    /// All fields.
    pub headers: HeaderMap,
    /// How the body is framed.
    pub framing: Framing,
    /// The connection may carry another request.
    pub keep_alive: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// An answer's head.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// HTTP/1.0 or HTTP/1.1.
    pub version: Version,
    /// All fields.
    pub headers: HeaderMap,
    /// How the body is framed.
    pub framing: Framing,
    /// The connection may carry another request.
    pub keep_alive: bool,
}

fn collect(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, Fault> {
    let mut map = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        let (Ok(name), Ok(value)) = (name, value) else { return Err(Fault::bad("malformed field")) };
        map.append(name, value);
    }
    Ok(map)
}

fn parse_fault(error: httparse::Error) -> Fault {
    match error {
        httparse::Error::TooManyHeaders => {
            Fault::new(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "too many fields")
        }
        httparse::Error::Version => Fault::new(StatusCode::HTTP_VERSION_NOT_SUPPORTED, "not HTTP/1.x"),
        httparse::Error::HeaderName => Fault::bad("malformed field name"),
        httparse::Error::HeaderValue => Fault::bad("malformed field value"),
        _ => Fault::bad("malformed head"),
    }
}

fn version(minor: Option<u8>) -> Version {
    if minor == Some(0) { Version::HTTP_10 } else { Version::HTTP_11 }
}

/// Whether a list-valued field holds the token, in any of its lines.
pub(crate) fn has_token(headers: &HeaderMap, name: HeaderName, token: &str) -> bool {
    let values = headers.get_all(name).into_iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
}

fn keep_alive(version: Version, headers: &HeaderMap) -> bool {
    let close = has_token(headers, header::CONNECTION, "close");
    let keep = has_token(headers, header::CONNECTION, "keep-alive");
    !close && (version == Version::HTTP_11 || keep)
}

/// The one length that `Content-Length` states; lines that disagree, lists and signs are refused.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Fault> {
    let mut found: Option<u64> = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let digits = value.as_bytes();
        if digits.is_empty() || digits.len() > 18 || !digits.iter().all(u8::is_ascii_digit) {
            return Err(Fault::bad("malformed Content-Length"));
        }
        let length = digits.iter().fold(0, |n, d| n * 10 + u64::from(d - b'0'));
        if found.replace(length).is_some_and(|before| before != length) {
            return Err(Fault::bad("two different lengths"));
        }
    }
    Ok(found)
}

/// Whether the message is chunked; any other transfer coding is one this side cannot delimit.
fn chunked(version: Version, headers: &HeaderMap) -> Result<bool, Fault> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).into_iter();
    let Some(only) = codings.next() else { return Ok(false) };
    if version == Version::HTTP_10 {
        return Err(Fault::bad("Transfer-Encoding in HTTP/1.0"));
    }
    if codings.next().is_some() || !only.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Err(Fault::new(StatusCode::NOT_IMPLEMENTED, "unknown transfer coding"));
    }
    if headers.contains_key(header::CONTENT_LENGTH) {
        return Err(Fault::bad("both Transfer-Encoding and Content-Length"));
    }
    Ok(true)
}

/// Parses a whole request head, as [`scan_head`] delimited it.
///
/// # Errors
/// [`Fault`] if the head does not parse, or says two things about the body's length.
pub fn parse_request(head: &[u8], limits: &Limits) -> Result<RequestHead, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; 128];
    let room = limits.fields.min(fields.len());
    let mut parsed = httparse::Request::new(&mut fields[..room]);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(n)) if n == head.len() => {}
        Ok(_) => return Err(Fault::bad("malformed head")),
        Err(error) => return Err(parse_fault(error)),
    }
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let method = Method::from_bytes(method.as_bytes()).map_err(|_| Fault::bad("malformed method"))?;
    if method == Method::CONNECT {
        return Err(Fault::new(StatusCode::NOT_IMPLEMENTED, "no tunnels here"));
    }
    let target = origin_form(target, &method)?;
    let version = version(parsed.version);
    let headers = collect(parsed.headers)?;
    match headers.get_all(header::HOST).into_iter().count() {
        1 => {}
        0 if version == Version::HTTP_10 => {}
        _ => return Err(Fault::bad("Host missing or repeated")),
    }
    let framing = if chunked(version, &headers)? {
        Framing::Chunked
    } else {
        content_length(&headers)?.map_or(Framing::Length(0), Framing::Length)
    };
    if matches!(framing, Framing::Length(n) if n > limits.body) {
        return Err(Fault::new(StatusCode::PAYLOAD_TOO_LARGE, "body over the limit"));
    }
    let expects_continue = match headers.get(header::EXPECT) {
        Some(v) if v.as_bytes().eq_ignore_ascii_case(b"100-continue") => {
            version == Version::HTTP_11 && framing != Framing::Length(0)
        }
        Some(_) => return Err(Fault::new(StatusCode::EXPECTATION_FAILED, "unknown expectation")),
        None => false,
    };
    let keep_alive = keep_alive(version, &headers);
    Ok(RequestHead { method, target, version, headers, framing, keep_alive, expects_continue })
}

/// `/path`, `*` for OPTIONS, or the path of an absolute target.
fn origin_form(target: &str, method: &Method) -> Result<String, Fault> {
    if target.starts_with('/') || (target == "*" && method == Method::OPTIONS) {
        return Ok(target.to_owned());
    }
    let rest = target.strip_prefix("http://").or_else(|| target.strip_prefix("https://"));
    let rest = rest.filter(|r| !r.is_empty() && !r.starts_with(['/', '?', '#']));
    let rest = rest.ok_or(Fault::bad("malformed target"))?;
    match rest.find(['/', '?']) {
        Some(i) if rest.as_bytes()[i] == b'/' => Ok(rest[i..].to_owned()),
        Some(i) => Ok(format!("/{}", &rest[i..])),
        None => Ok("/".to_owned()),
    }
}

/// Parses a whole answer head. `to_head`: it answers a HEAD request and carries no body whatever it says.
///
/// # Errors
/// [`Fault`] if the head does not parse, or says two things about the body's length.
pub fn parse_response(head: &[u8], limits: &Limits, to_head: bool) -> Result<ResponseHead, Fault> {
    let mut fields = [httparse::EMPTY_HEADER; 128];
    let room = limits.fields.min(fields.len());
    let mut parsed = httparse::Response::new(&mut fields[..room]);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(n)) if n == head.len() => {}
        Ok(_) => return Err(Fault::bad("malformed head")),
        Err(error) => return Err(parse_fault(error)),
    }
    let status =
        StatusCode::from_u16(parsed.code.unwrap_or(0)).map_err(|_| Fault::bad("malformed status"))?;
    let version = version(parsed.version);
    let headers = collect(parsed.headers)?;
    let empty = to_head || status.is_informational() || matches!(status.as_u16(), 204 | 304);
    // Framing faults count even where no body follows: a peer that sends them cannot be trusted to agree.
    let (chunked, length) = (chunked(version, &headers)?, content_length(&headers)?);
    let framing = match length {
        _ if empty => Framing::Length(0),
        _ if chunked => Framing::Chunked,
        Some(n) => Framing::Length(n),
        None => Framing::UntilClose,
    };
    let keep_alive = framing != Framing::UntilClose && keep_alive(version, &headers);
    Ok(ResponseHead { status, version, headers, framing, keep_alive })
}

/// Fields that concern one connection only (RFC 9110, 7.6.1), beside those that `Connection` names.
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

/// The fields to forward, framing fields excluded. `Connection` may name further fields to drop, but not
/// those in `kept`: a client must not be able to strip, say, a key that servers drop repeats by.
pub fn end_to_end<'a>(
    headers: &'a HeaderMap,
    kept: &'a [HeaderName],
) -> impl Iterator<Item = (&'a HeaderName, &'a HeaderValue)> {
    let named = headers.contains_key(header::CONNECTION);
    headers.iter().filter(move |(name, _)| {
        let framing = **name == header::CONTENT_LENGTH || **name == header::EXPECT;
        let dropped = named
            && !kept.contains(name)
            && **name != header::HOST
            && has_token(headers, header::CONNECTION, name.as_str());
        !framing && !dropped && !is_hop_by_hop(name)
    })
}

/// Appends `name: value` and the line end.
pub fn write_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends the field that frames a body, none for one that ends with the connection.
pub fn write_framing(out: &mut Vec<u8>, framing: Framing) {
    match framing {
        Framing::Length(n) => write_field(out, "content-length", n.to_string().as_bytes()),
        Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        Framing::UntilClose => {}
    }
}
