//! The reasons for rejecting a message.

use http::StatusCode;
use std::fmt;

/// Why a message was rejected. Displayed as the status and the reason, such as `400: malformed head`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramingError {
    /// A line feed without a carriage return in a head.
    BareLineFeedInHead,
    /// A carriage return without a line feed in a head.
    BareCarriageReturnInHead,
    /// A head longer than [`crate::Limits::max_head_bytes`].
    HeadTooLarge,
    /// A head with more fields than [`crate::Limits::max_fields`].
    TooManyFields,
    /// A head that cannot be parsed.
    MalformedHead,
    /// A field that cannot be parsed.
    MalformedField,
    /// A field name with a character that is not allowed there.
    MalformedFieldName,
    /// A field value with a character that is not allowed there.
    MalformedFieldValue,
    /// A version other than HTTP/1.0 and HTTP/1.1.
    UnsupportedVersion,
    /// A method that cannot be parsed.
    MalformedMethod,
    /// The method CONNECT, which asks for a tunnel.
    ConnectNotSupported,
    /// A target that is neither a path nor an absolute URI.
    MalformedTarget,
    /// A request without a `Host` field, or with several.
    HostMissingOrRepeated,
    /// A value of `Expect` other than `100-continue`.
    UnknownExpectation,
    /// A status code out of range.
    MalformedStatus,
    /// A `Content-Length` that is not a single decimal number, or has too many digits.
    MalformedContentLength,
    /// Several `Content-Length` fields with different values.
    ConflictingContentLengths,
    /// `Transfer-Encoding` in an HTTP/1.0 message.
    TransferEncodingInHttp10,
    /// A transfer coding other than `chunked`.
    UnknownTransferCoding,
    /// Both `Transfer-Encoding` and `Content-Length`.
    ConflictingFramings,
    /// A body longer than [`crate::Limits::max_body_bytes`].
    BodyTooLarge,
    /// The peer closed the connection before the end of a body.
    ClosedWithinBody,
    /// A chunk size that is not a hexadecimal number, or has too many digits.
    MalformedChunkSize,
    /// A chunk whose data is not followed by CR LF: it is longer than its stated size.
    ChunkSizeMismatch,
    /// A chunk-size line or trailer line that is too long.
    BodyLineTooLong,
    /// A line feed without a carriage return in a chunked body.
    BareLineFeedInBody,
    /// A carriage return without a line feed in a chunked body.
    BareCarriageReturnInBody,
    /// Too many trailer fields.
    TooManyTrailers,
    /// Input from a server while no request waits for a response.
    UnexpectedResponse,
    /// A response `101 Switching Protocols`. No request asks for it, as the field `Upgrade` is not forwarded.
    UnexpectedUpgrade,
    /// The server closed the connection before the head of its response.
    ClosedBeforeResponse,
}

impl FramingError {
    /// Returns the status that a server sends in response to this error.
    pub fn status(self) -> StatusCode {
        match self {
            FramingError::HeadTooLarge | FramingError::TooManyFields => {
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
            FramingError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            FramingError::UnsupportedVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            FramingError::ConnectNotSupported | FramingError::UnknownTransferCoding => {
                StatusCode::NOT_IMPLEMENTED
            }
            FramingError::UnknownExpectation => StatusCode::EXPECTATION_FAILED,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the reason as text. Servers send it to the client in the error response.
    pub fn reason(self) -> &'static str {
        match self {
            FramingError::BareLineFeedInHead => "bare line feed in a head",
            FramingError::BareCarriageReturnInHead => "bare carriage return in a head",
            FramingError::HeadTooLarge => "head over the limit",
            FramingError::TooManyFields => "too many fields",
            FramingError::MalformedHead => "malformed head",
            FramingError::MalformedField => "malformed field",
            FramingError::MalformedFieldName => "malformed field name",
            FramingError::MalformedFieldValue => "malformed field value",
            FramingError::UnsupportedVersion => "not HTTP/1.x",
            FramingError::MalformedMethod => "malformed method",
            FramingError::ConnectNotSupported => "no tunnels here",
            FramingError::MalformedTarget => "malformed target",
            FramingError::HostMissingOrRepeated => "Host missing or repeated",
            FramingError::UnknownExpectation => "unknown expectation",
            FramingError::MalformedStatus => "malformed status",
            FramingError::MalformedContentLength => "malformed Content-Length",
            FramingError::ConflictingContentLengths => "two different lengths",
            FramingError::TransferEncodingInHttp10 => "Transfer-Encoding in HTTP/1.0",
            FramingError::UnknownTransferCoding => "unknown transfer coding",
            FramingError::ConflictingFramings => "both Transfer-Encoding and Content-Length",
            FramingError::BodyTooLarge => "body over the limit",
            FramingError::ClosedWithinBody => "closed within a body",
            FramingError::MalformedChunkSize => "malformed chunk size",
            FramingError::ChunkSizeMismatch => "chunk longer than its size",
            FramingError::BodyLineTooLong => "line too long in a body",
            FramingError::BareLineFeedInBody => "bare line feed in a body",
            FramingError::BareCarriageReturnInBody => "bare carriage return in a body",
            FramingError::TooManyTrailers => "too many trailers",
            FramingError::UnexpectedResponse => "response without a request",
            FramingError::UnexpectedUpgrade => "response is an upgrade that was not requested",
            FramingError::ClosedBeforeResponse => "closed before an answer",
        }
    }
}

impl fmt::Display for FramingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.status().as_u16(), self.reason())
    }
}

impl std::error::Error for FramingError {}

impl From<httparse::Error> for FramingError {
    fn from(error: httparse::Error) -> FramingError {
        match error {
            httparse::Error::TooManyHeaders => FramingError::TooManyFields,
            httparse::Error::Version => FramingError::UnsupportedVersion,
            httparse::Error::HeaderName => FramingError::MalformedFieldName,
            httparse::Error::HeaderValue => FramingError::MalformedFieldValue,
            _ => FramingError::MalformedHead,
        }
    }
}
