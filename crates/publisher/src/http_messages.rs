//! Complete HTTP requests and responses, as the connections and the service exchange them.

use crate::protocol::{RETRY_AFTER_HEADER, Refused};
use http::StatusCode;
use http::header::HeaderName;
use serde::Serialize;
use violetseam_distribution::{Message, Micros};
use violetseam_http1::RequestHead;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// A request that has arrived completely.
pub(crate) struct Request {
    pub(crate) head: Box<RequestHead>,
    pub(crate) body: Vec<u8>,
}

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(HeaderName, String)>,
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// Builds a response with a JSON body.
    pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response {
        // Serialization cannot fail, because all bodies are plain structures with string keys.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Response { status, headers: Vec::new(), body }
    }

    /// Builds the response to a request that is refused, with the reason as text for the operator.
    pub(crate) fn refused(status: StatusCode, reason: impl std::fmt::Display) -> Response {
        Response::json(status, &Refused { reason: reason.to_string() })
    }

    /// Builds the response that tells the subscriber to retry after this many microseconds.
    pub(crate) fn retry_after(micros: Micros) -> Response {
        let milliseconds = micros.div_ceil(MICROS_PER_MILLISECOND).to_string();
        Response {
            status: StatusCode::SERVICE_UNAVAILABLE,
            headers: vec![(HeaderName::from_static(RETRY_AFTER_HEADER), milliseconds)],
            body: Message::RetryAfter { micros }.write().to_vec(),
        }
    }
}
