//! The client of a publisher, for the command line: it sends one request and waits for the response until a
//! timeout.

use crate::protocol::{
    CHANGES_PATH, Published, Refused, STATUS_PATH, StatusReport, WHOLE_CONFIGURATION_PATH,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version as HttpVersion, header};
use serde::de::DeserializeOwned;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use thiserror::Error;
use violetseam_http1::client::{ClientConnection, ClientEvent, write_request_head};
use violetseam_http1::{Framing, Limits, RequestHead};

/// The maximum length of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Why a request failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The publisher refused the request, with this reason.
    #[error("the publisher refused the request: {0}")]
    Refused(String),
    /// The client could not connect to the publisher: nothing has changed.
    #[error("cannot connect to the publisher, so nothing was changed: {0}")]
    Unreachable(#[source] std::io::Error),
    /// No valid response arrived: the publisher may have carried out the request.
    #[error("no valid response; the publisher may have carried out the request, check with --status: {0}")]
    NoAnswer(#[source] ExchangeError),
}

/// Why a request that may have been sent got no valid response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection failed or timed out.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The response is not valid HTTP.
    #[error("the response is not valid HTTP: {reason}")]
    InvalidHttp {
        /// What is wrong with the response.
        reason: &'static str,
    },
    /// The body of the response is too long.
    #[error("the body of the response is longer than {MAX_RESPONSE_BYTES} bytes")]
    TooLong,
    /// The body of the response is not the expected JSON.
    #[error("the body of the response is not the expected JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
}

/// A client of one publisher. It opens a new connection for each request.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    /// The address of the publisher.
    pub publisher: SocketAddr,
    /// How long the connection attempt may take, and how long the request may take from its start to its
    /// complete response.
    pub timeout: Duration,
}

struct Response {
    status: StatusCode,
    body: Vec<u8>,
}

impl Client {
    /// Publishes changes, given as JSON lines of `Change`, as the next version.
    ///
    /// # Errors
    /// The publisher was not reached, did not respond, or refused the request.
    pub fn publish_changes(&self, lines: &[u8]) -> Result<Published, ClientError> {
        self.call(Method::POST, CHANGES_PATH, lines)
    }

    /// Replaces the complete configuration by the resources in `lines`, which are JSON lines of `Resource`.
    ///
    /// # Errors
    /// The publisher was not reached, did not respond, or refused the request.
    pub fn publish_whole(&self, lines: &[u8]) -> Result<Published, ClientError> {
        self.call(Method::POST, WHOLE_CONFIGURATION_PATH, lines)
    }

    /// Requests the status, which says which version each subscriber has.
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
        let refusal: Refused = parse_body(&response.body)?;
        Err(ClientError::Refused(refusal.reason))
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
        // The publisher may refuse a request before it has read all of it, so a response is read even if
        // the write failed.
        let write_result = stream.write_all(&request);
        let mut http = ClientConnection::new(Limits::default());
        http.expect_response(false);
        match (read_response(&mut stream, &mut http, deadline), write_result) {
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
    let mut bytes = vec![0; READ_BUFFER_BYTES];
    loop {
        match http.next_event() {
            Some(ClientEvent::Head(head)) => response.status = head.status,
            Some(ClientEvent::Body(part)) if response.body.len() + part.len() > MAX_RESPONSE_BYTES => {
                return Err(ExchangeError::TooLong);
            }
            Some(ClientEvent::Body(part)) => response.body.extend_from_slice(&part),
            Some(ClientEvent::End { .. }) => return Ok(response),
            Some(ClientEvent::Error(error)) => {
                return Err(ExchangeError::InvalidHttp { reason: error.reason() });
            }
            None => {
                let count = read_with_deadline(stream, deadline, &mut bytes)?;
                http.feed(&bytes[..count]);
            }
        }
    }
}

/// Reads at least one byte, or fails at the deadline or at the end of the stream.
fn read_with_deadline(stream: &mut TcpStream, deadline: Instant, bytes: &mut [u8]) -> std::io::Result<usize> {
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
