//! Complete HTTP requests and responses, as they pass between connections and the service.

use crate::protocol::{RETRY_AFTER_HEADER, Refused};
use http::StatusCode;
use http::header::HeaderName;
use serde::Serialize;
use violetseam_distribution::{Message, Micros};
use violetseam_http1::RequestHead;

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// A complete request.
pub(crate) struct Request {
    pub(crate) head: Box<RequestHead>,
    pub(crate) body: Vec<u8>,
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: Vec<(HeaderName, String)>,
    pub(crate) body: Vec<u8>,
}

impl Response {
    /// A response with a JSON body.
    pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response {
        // Plain structures with string keys: serialization does not fail.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Response { status, headers: Vec::new(), body }
    }

    /// The request was refused, with the reason for people.
    pub(crate) fn refused(status: StatusCode, reason: impl std::fmt::Display) -> Response {
        Response::json(status, &Refused { reason: reason.to_string() })
    }

    /// The request may be repeated after `micros`.
    pub(crate) fn retry_after(micros: Micros) -> Response {
        let milliseconds = micros.div_ceil(MICROS_PER_MILLISECOND).to_string();
        Response {
            status: StatusCode::SERVICE_UNAVAILABLE,
            headers: vec![(HeaderName::from_static(RETRY_AFTER_HEADER), milliseconds)],
            body: Message::RetryAfter { micros }.write().to_vec(),
        }
    }
}
