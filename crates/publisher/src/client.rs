//! The client: one request to a publisher within a timeout, for the command line.

use crate::protocol::{CHANGES_PATH, Published, Refused, STATUS_PATH, StatusReport, WHOLE_PATH};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version as HttpVersion, header};
use serde::de::DeserializeOwned;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;
use violetseam_http1::client::{ClientConnection, ClientEvent, write_request_head};
use violetseam_http1::{Framing, Limits, RequestHead};

/// The longest body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
const READ_BYTES: usize = 64 * 1024;

/// Why a request had no result.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The publisher refused it, with this reason.
    #[error("refused: {0}")]
    Refused(String),
    /// The publisher was not reached: nothing has changed.
    #[error("the publisher was not reached: {0}")]
    Unreachable(#[source] std::io::Error),
    /// The connection ended without a response: the request may have been carried out.
    #[error("no answer, what was sent may stand; see --status: {0}")]
    NoAnswer(#[source] ExchangeError),
}

/// Why there was no valid response to a request that was sent.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection failed or timed out.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The response is not HTTP.
    #[error("{reason}")]
    InvalidHttp {
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The body of the response is too long.
    #[error("the answer is too long")]
    TooLong,
    /// The body of the response is not the expected JSON.
    #[error("not understood: {0}")]
    InvalidJson(#[from] serde_json::Error),
}

/// A client of one publisher, with a connection for each request.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// The address of the publisher.
    pub publisher: SocketAddr,
    /// How long a request may take.
    pub timeout: Duration,
}

struct Response {
    status: StatusCode,
    body: Vec<u8>,
}

impl Client {
    /// Publishes JSON lines of `Change` as the next version.
    ///
    /// # Errors
    /// The publisher was not reached, did not respond, or refused the request.
    pub fn publish_changes(&self, lines: &[u8]) -> Result<Published, ClientError> {
        self.call(Method::POST, CHANGES_PATH, lines)
    }

    /// Publishes JSON lines of `Resource` as the whole configuration, in place of the present one.
    ///
    /// # Errors
    /// The publisher was not reached, did not respond, or refused the request.
    pub fn publish_whole(&self, lines: &[u8]) -> Result<Published, ClientError> {
        self.call(Method::POST, WHOLE_PATH, lines)
    }

    /// Which version each subscriber has.
    ///
    /// # Errors
    /// The publisher was not reached, did not respond, or refused the request.
    pub fn status(&self) -> Result<StatusReport, ClientError> {
        self.call(Method::GET, STATUS_PATH, &[])
    }

    fn call<T: DeserializeOwned>(&self, method: Method, path: &str, body: &[u8]) -> Result<T, ClientError> {
        let deadline = Instant::now() + self.timeout;
        let stream =
            TcpStream::connect_timeout(&self.publisher, self.timeout).map_err(ClientError::Unreachable)?;
        let response = self.exchange(stream, deadline, method, path, body).map_err(ClientError::NoAnswer)?;
        if response.status == StatusCode::OK {
            return parse_body(&response.body);
        }
        let refused: Refused = parse_body(&response.body)?;
        Err(ClientError::Refused(refused.reason))
    }

    fn exchange(
        &self,
        mut stream: TcpStream,
        deadline: Instant,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<Response, ExchangeError> {
        let mut request = self.request_head(method, path, body.len());
        request.extend_from_slice(body);
        stream.set_write_timeout(Some(self.timeout))?;
        // The publisher may respond before it has read everything; that response counts.
        let sent = stream.write_all(&request);
        let mut http = ClientConnection::new(Limits::default());
        http.expect_response(false);
        match (read_response(&mut stream, &mut http, deadline), sent) {
            (Ok(response), _) => Ok(response),
            (Err(_), Err(error)) => Err(error.into()),
            (Err(error), Ok(())) => Err(error),
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

fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|error| ClientError::NoAnswer(error.into()))
}

fn read_response(
    stream: &mut TcpStream,
    http: &mut ClientConnection,
    deadline: Instant,
) -> Result<Response, ExchangeError> {
    let mut response = Response { status: StatusCode::OK, body: Vec::new() };
    let mut bytes = vec![0; READ_BYTES];
    loop {
        match http.next_event() {
            Some(ClientEvent::Head(head)) => response.status = head.status,
            Some(ClientEvent::Body(part)) if response.body.len() + part.len() > MAX_RESPONSE_BYTES => {
                return Err(ExchangeError::TooLong);
            }
            Some(ClientEvent::Body(part)) => response.body.extend_from_slice(&part),
            Some(ClientEvent::End { .. }) => return Ok(response),
            Some(ClientEvent::Error(fault)) => {
                return Err(ExchangeError::InvalidHttp { reason: fault.reason() });
            }
            None => {
                let count = read_before(stream, deadline, &mut bytes)?;
                http.feed(&bytes[..count]);
            }
        }
    }
}

/// Reads at least one byte before the deadline.
fn read_before(stream: &mut TcpStream, deadline: Instant, bytes: &mut [u8]) -> std::io::Result<usize> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    stream.set_read_timeout(Some(remaining))?;
    match stream.read(bytes)? {
        0 => Err(ErrorKind::UnexpectedEof.into()),
        count => Ok(count),
    }
}
