//! One request to a publisher within a time-out, for the command line.

use crate::protocol::{CHANGES_PATH, Published, Refused, STATUS_PATH, StatusReport, WHOLE_PATH};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version as HttpVersion, header};
use serde::de::DeserializeOwned;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use violetseam_http1::client::{ClientConn, ClientEvent, write_request_head};
use violetseam_http1::{Framing, Limits, RequestHead};

/// The longest answer that is read, in bytes.
const ANSWER_BYTES_MOST: usize = 32 << 20;
const READ_BYTES: usize = 64 * 1024;

/// Why a request had no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The publisher refused it, with its reason.
    Refused(String),
    /// It was not reached: nothing has changed.
    Unreachable(String),
    /// The connection ended without an answer: what was asked may have been done.
    NoAnswer(String),
}

impl std::fmt::Display for ClientError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ClientError::Refused(reason) => write!(f, "refused: {reason}"),
            ClientError::Unreachable(reason) => write!(f, "the publisher was not reached: {reason}"),
            ClientError::NoAnswer(reason) => {
                write!(f, "no answer, what was sent may stand; see --status: {reason}")
            }
        }
    }
}

impl std::error::Error for ClientError {}

/// Speaks to one publisher, one connection a request.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// Where it listens.
    pub publisher: SocketAddr,
    /// How long a request may take.
    pub timeout: Duration,
}

struct HttpAnswer {
    status: StatusCode,
    body: Vec<u8>,
}

impl Client {
    /// Publishes JSON lines of `Change` as the next version.
    pub fn publish_changes(&self, lines: &[u8]) -> Result<Published, ClientError> {
        self.call(Method::POST, CHANGES_PATH, lines)
    }

    /// Publishes JSON lines of `Resource` as the whole configuration, in place of the present one.
    pub fn publish_whole(&self, lines: &[u8]) -> Result<Published, ClientError> {
        self.call(Method::POST, WHOLE_PATH, lines)
    }

    /// Who has which version.
    pub fn status(&self) -> Result<StatusReport, ClientError> {
        self.call(Method::GET, STATUS_PATH, &[])
    }

    fn call<T: DeserializeOwned>(&self, method: Method, path: &str, body: &[u8]) -> Result<T, ClientError> {
        let until = Instant::now() + self.timeout;
        let stream = TcpStream::connect_timeout(&self.publisher, self.timeout)
            .map_err(|error| ClientError::Unreachable(error.to_string()))?;
        let answer = self.exchange(stream, until, method, path, body)?;
        let malformed = |error: serde_json::Error| ClientError::NoAnswer(format!("not understood: {error}"));
        if answer.status == StatusCode::OK {
            return serde_json::from_slice(&answer.body).map_err(malformed);
        }
        let refused: Refused = serde_json::from_slice(&answer.body).map_err(malformed)?;
        Err(ClientError::Refused(refused.reason))
    }

    fn exchange(
        &self,
        mut stream: TcpStream,
        until: Instant,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<HttpAnswer, ClientError> {
        let no_answer = |error: std::io::Error| ClientError::NoAnswer(error.to_string());
        let mut request = self.request_head(method, path, body.len());
        request.extend_from_slice(body);
        stream.set_write_timeout(Some(self.timeout)).map_err(no_answer)?;
        // The publisher may answer before it has read everything; that answer counts.
        let sent = stream.write_all(&request);
        let mut http = ClientConn::new(Limits::default());
        http.expect_answer(false);
        match read_answer(&mut stream, &mut http, until) {
            Ok(answer) => Ok(answer),
            Err(error) => Err(no_answer(sent.err().unwrap_or(error))),
        }
    }

    fn request_head(&self, method: Method, path: &str, length: usize) -> Vec<u8> {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(&self.publisher.to_string()) {
            headers.insert(header::HOST, host);
        }
        let framing = Framing::Length(length as u64);
        let head = RequestHead {
            method,
            target: path.to_owned(),
            version: HttpVersion::HTTP_11,
            headers,
            framing,
            keep_alive: true,
            expects_continue: false,
        };
        let mut bytes = Vec::new();
        write_request_head(&mut bytes, &head, &[], &[], framing);
        bytes
    }
}

fn read_answer(stream: &mut TcpStream, http: &mut ClientConn, until: Instant) -> std::io::Result<HttpAnswer> {
    let invalid = |reason: &str| std::io::Error::new(ErrorKind::InvalidData, reason.to_owned());
    let mut answer = HttpAnswer { status: StatusCode::OK, body: Vec::new() };
    let mut bytes = vec![0; READ_BYTES];
    loop {
        match http.next_event() {
            Some(ClientEvent::Head(head)) => answer.status = head.status,
            Some(ClientEvent::Body(part)) if answer.body.len() + part.len() > ANSWER_BYTES_MOST => {
                return Err(invalid("the answer is too long"));
            }
            Some(ClientEvent::Body(part)) => answer.body.extend_from_slice(&part),
            Some(ClientEvent::End { .. }) => return Ok(answer),
            Some(ClientEvent::Fault(fault)) => return Err(invalid(fault.reason)),
            None => {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(ErrorKind::TimedOut.into());
                }
                stream.set_read_timeout(Some(left))?;
                match stream.read(&mut bytes)? {
                    0 => return Err(ErrorKind::UnexpectedEof.into()),
                    count => http.feed(&bytes[..count]),
                }
            }
        }
    }
}
